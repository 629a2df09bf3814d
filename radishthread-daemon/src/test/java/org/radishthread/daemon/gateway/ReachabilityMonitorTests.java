package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.kernel.SystemTimeSource;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReachabilityMonitor}, with addresses at which nothing listens.
 */
class ReachabilityMonitorTests {

	private final ReachabilityMonitor monitor = new ReachabilityMonitor("gateway-1", new SystemTimeSource());

	private final BlockingQueue<Map.Entry<String, Boolean>> changes = new LinkedBlockingQueue<>();

	@AfterEach
	void stop() {
		this.monitor.stop();
	}

	private void announce(String host) {
		this.monitor.addListener((service, partitioned) -> this.changes.add(Map.entry(service, partitioned)));
		List<UpstreamRecord> upstreams = new ArrayList<>();
		for (int port = 1; port <= 3; port++) {
			upstreams.add(UpstreamRecord.newBuilder()
				.setName("i-" + port)
				.setService("rotaboard")
				.setAddress(host + ":" + port)
				.setState(UpstreamState.READY)
				.build());
		}
		this.monitor.updateUpstreams(upstreams);
	}

	// The connector names an IPv6 number as the platform writes it, not as it was
	// announced.
	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1", "[::1]", "[0:0:0:0:0:0:0:1]" })
	void failureAndTheProbesThatFollowShowAPartition(String host) throws Exception {
		announce(host);
		this.monitor.connectionCompleted(host.contains("::") ? "[0:0:0:0:0:0:0:1]:1" : host + ":1", false);
		assertThat(this.changes.poll(5, TimeUnit.SECONDS)).isEqualTo(Map.entry("rotaboard", true));
		assertThat(this.monitor.isPartitioned("rotaboard")).isTrue();
		assertThat(this.monitor.mayRelay(host + ":2")).isFalse();
	}

	@Test
	void connectionThatOpensEndsThePartition() throws Exception {
		announce("127.0.0.1");
		this.monitor.connectionCompleted("127.0.0.1:1", false);
		assertThat(this.changes.poll(5, TimeUnit.SECONDS)).isEqualTo(Map.entry("rotaboard", true));
		this.monitor.connectionCompleted("127.0.0.1:2", true);
		assertThat(this.changes.poll(5, TimeUnit.SECONDS)).isEqualTo(Map.entry("rotaboard", false));
		assertThat(this.monitor.mayRelay("127.0.0.1:3")).isTrue();
	}

}
