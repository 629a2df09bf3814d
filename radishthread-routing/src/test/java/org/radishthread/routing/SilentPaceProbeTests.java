package org.radishthread.routing;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.PaceProbe;
import org.radishthread.rules.PaceProbeRule;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for pace probes to upstreams that did not respond for a while.
 */
class SilentPaceProbeTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final Upstream UPSTREAM = new Upstream("upstream-0", "127.0.0.1:1", "bastrop", 3, 1, true);

	private static final LoadReport REPORT = new LoadReport(0, 0, 3, 100, false, 0, LoadReport.UNLIMITED, 0);

	private final ServiceRouter router = new ServiceRouter(new ServiceRule("rotaboard", 2_000, Duration.ofSeconds(60),
			50, 20, 100, 3, new PaceProbeRule("/health", 25)), "bastrop", 16, 0);

	private long requestId;

	private int probes(long fromMillis, long toMillis, boolean responding) {
		int probes = 0;
		for (long millis = fromMillis; millis < toMillis; millis += 2) {
			long nowNanos = millis * NANOS_PER_MILLI;
			this.requestId++;
			this.router.admit(
					new RoutingRequest(this.requestId, "caller-" + this.requestId, true, nowNanos + 4_000_000_000L),
					true, nowNanos);
			this.router.close(this.requestId);
			if (millis % 10 == 0) {
				for (RoutingEffect effect : this.router.tick(nowNanos)) {
					if (effect instanceof PaceProbe probe) {
						probes++;
						if (responding) {
							this.router.recordPaceProbe(probe.upstream().name(), REPORT, nowNanos);
						}
					}
				}
			}
		}
		return probes;
	}

	// Guards against probes that stop for good after an upstream that reports its pace
	// was silent for some seconds.
	@Test
	void upstreamIsProbedAgainAfterASilence() {
		this.router.updateUpstreams(List.of(UPSTREAM), 0);
		assertThat(probes(0, 4_000, true)).isPositive();
		probes(4_000, 10_000, false);
		assertThat(probes(10_000, 20_000, true)).isPositive();
	}

}
