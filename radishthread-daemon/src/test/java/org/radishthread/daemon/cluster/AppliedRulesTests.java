package org.radishthread.daemon.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.kernel.SystemTimeSource;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.ZoneEvacuation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for changes that a part of the instance fails to apply.
 */
class AppliedRulesTests {

	private static final long FORMER_REVISION = 5;

	private static final long REVISION = 6;

	private static final long CURRENT_AT_MILLIS = 100;

	private static final long WAIT_MILLIS = 10_000;

	private static final long POLL_MILLIS = 20;

	@TempDir
	private Path directory;

	private PeerTransport transport;

	private ClusterService cluster;

	private final FailingListener listener = new FailingListener();

	@BeforeEach
	void start() throws IOException {
		DaemonSettings settings = settings();
		this.transport = new PeerTransport(settings, new SimpleMeterRegistry());
		this.cluster = new ClusterService(settings, this.transport, new SystemTimeSource(), 1);
		this.cluster.addListener(this.listener);
		this.cluster.start();
	}

	@AfterEach
	void stop() {
		this.cluster.stop();
		this.transport.stop();
	}

	private DaemonSettings settings() throws IOException {
		Files.writeString(this.directory.resolve("token"), "0123456789abcdef");
		return SettingsReader.read(Files.writeString(this.directory.resolve("settings.yaml"), """
				instance: gateway-1
				zone: zone-1
				roles: [gateway]
				listen: {caller: "127.0.0.1:1", administration: "127.0.0.1:2", peer: "127.0.0.1:%d"}
				seeds: ["127.0.0.1:3"]
				secrets: {peer: token, administration: token, announcement: token}
				""".formatted(unusedPort())));
	}

	private static int unusedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private void offerRules(long revision) {
		this.cluster.offerRules(RuleFile.newBuilder()
			.setRevision(revision)
			.setContent("revision " + revision + "   # asked by operator\n")
			.build());
	}

	private int appliedCount(long revision) throws Exception {
		return this.cluster.rulePropagation(revision).get().appliedCount();
	}

	private static void await(Condition condition) throws Exception {
		long endMillis = System.currentTimeMillis() + WAIT_MILLIS;
		while (!condition.holds() && System.currentTimeMillis() < endMillis) {
			Thread.sleep(POLL_MILLIS);
		}
		assertThat(condition.holds()).isTrue();
	}

	@Nested
	class FailureOnce {

		// Guards against rules that are lost for good: they were taken from the
		// membership before the parts that apply them were called.
		@Test
		void rulesAreAppliedAfterAll() throws Exception {
			AppliedRulesTests.this.listener.remainingFailures = 1;
			offerRules(REVISION);
			await(() -> AppliedRulesTests.this.listener.revision == REVISION);
			await(() -> appliedCount(REVISION) == 1);
			assertThat(AppliedRulesTests.this.cluster.view().rules().getRevision()).isEqualTo(REVISION);
		}

		// Guards against an evacuation that is told as applied and never obeyed.
		@Test
		void evacuationsAreAppliedAfterAll() throws Exception {
			AppliedRulesTests.this.listener.remainingFailures = 1;
			AppliedRulesTests.this.cluster.offerEvacuations(Evacuations.newBuilder()
				.setVersion(1)
				.addZones(ZoneEvacuation.newBuilder().setZone("zone-2").setEvacuated(true))
				.build());
			await(() -> AppliedRulesTests.this.listener.evacuationVersion == 1);
		}

	}

	@Nested
	class FailureForGood {

		// Guards against an acknowledgement that counts an instance which still routes by
		// former rules.
		@Test
		void instanceDoesNotCountAsHavingAppliedTheRules() throws Exception {
			AppliedRulesTests.this.listener.remainingFailures = Integer.MAX_VALUE;
			offerRules(REVISION);
			await(() -> AppliedRulesTests.this.listener.failures >= 2);
			assertThat(appliedCount(REVISION)).isZero();
			assertThat(AppliedRulesTests.this.cluster.view().rules().getRevision()).isZero();
		}

		// Guards against former rules that are taken for the newest ones, because newer
		// ones have arrived.
		@Test
		void rulesThatAreNotInUseYetAreNotPublished() throws Exception {
			ClusterService service = AppliedRulesTests.this.cluster;
			offerRules(FORMER_REVISION);
			service.recordRulesCurrent(CURRENT_AT_MILLIS);
			await(() -> service.view().rulesCurrentAtMillis() == CURRENT_AT_MILLIS);
			AppliedRulesTests.this.listener.remainingFailures = Integer.MAX_VALUE;
			offerRules(REVISION);
			service.recordRulesCurrent(CURRENT_AT_MILLIS + 1);
			await(() -> AppliedRulesTests.this.listener.failures >= 2);
			assertThat(service.view().rules().getRevision()).isEqualTo(FORMER_REVISION);
			assertThat(service.view().rulesCurrentAtMillis()).isEqualTo(CURRENT_AT_MILLIS);
			assertThat(appliedCount(FORMER_REVISION)).isEqualTo(1);
		}

	}

	/**
	 * Condition on a running service.
	 */
	@FunctionalInterface
	private interface Condition {

		boolean holds() throws Exception;

	}

	/**
	 * Listener that fails a number of times before it accepts changes.
	 */
	private static final class FailingListener implements ClusterListener {

		private volatile int remainingFailures;

		private volatile int failures;

		private volatile long revision;

		private volatile long evacuationVersion;

		private void failIfRequired() {
			if (this.remainingFailures > 0) {
				this.remainingFailures--;
				this.failures++;
				throw new IllegalStateException("once");
			}
		}

		@Override
		public void upstreamsChanged(List<UpstreamRecord> upstreams) {
			// Not part of these tests.
		}

		@Override
		public void rulesChanged(RuleFile rules) {
			failIfRequired();
			this.revision = rules.getRevision();
		}

		@Override
		public void evacuationsChanged(Evacuations evacuations) {
			failIfRequired();
			this.evacuationVersion = evacuations.getVersion();
		}

	}

}
