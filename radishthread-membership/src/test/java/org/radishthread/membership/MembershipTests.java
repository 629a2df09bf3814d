package org.radishthread.membership;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.protocol.UpstreamState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Membership}.
 */
class MembershipTests {

	private static final int INSTANCE_COUNT = 16;

	private final SimulatedCluster cluster = new SimulatedCluster(INSTANCE_COUNT, 3);

	MembershipTests() {
		this.cluster.run(6_000);
	}

	@Nested
	class Rules {

		@Test
		void revisionIsAppliedByAllInstancesWithinThreeSeconds() {
			MembershipTests.this.cluster.offerRules("node-2", 7);
			MembershipTests.this.cluster.run(3_000);
			assertThat(MembershipTests.this.cluster.instances.values())
				.allSatisfy((instance) -> assertThat(instance.appliedRules().getRevision()).isEqualTo(7));
		}

		@Test
		void lowerRevisionIsNotApplied() {
			MembershipTests.this.cluster.offerRules("node-2", 7);
			MembershipTests.this.cluster.run(3_000);
			MembershipTests.this.cluster.offerRules("node-5", 6);
			assertThat(MembershipTests.this.cluster.instance(5).appliedRules().getRevision()).isEqualTo(7);
		}

		@Test
		void restartedInstanceIsNotReadyBeforeItAppliesTheRules() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.offerRules("node-2", 7);
			cluster.run(3_000);
			cluster.stop("node-9");
			cluster.run(1_000);
			cluster.start("node-9");
			long deadlineMillis = cluster.nowMillis + 10_000;
			while (cluster.instance(9).servingState(cluster.nowMillis) != ServingState.READY
					&& cluster.nowMillis < deadlineMillis) {
				cluster.run(SimulatedCluster.TICK_MILLIS);
			}
			assertThat(cluster.instance(9).servingState(cluster.nowMillis)).isEqualTo(ServingState.READY);
			assertThat(cluster.instance(9).appliedRules().getRevision()).isEqualTo(7);
		}

	}

	@Nested
	class FullRestart {

		@Test
		void storedRulesAreNotServedBeforeControlGroupConfirmsRules() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.offerRules("node-2", 7);
			cluster.run(3_000);
			List<String> names = List.copyOf(cluster.instances.keySet());
			names.forEach(cluster::stop);
			names.forEach(cluster::start);
			cluster.offerRules("node-0", 6);
			cluster.offerRules("node-1", 6);
			cluster.run(10_000);
			assertThat(cluster.instances.values())
				.allSatisfy((instance) -> assertThat(instance.servingState(cluster.nowMillis))
					.isNotEqualTo(ServingState.READY));
			names.forEach((name) -> cluster.confirmRules(name, 7));
			cluster.run(1_000);
			assertThat(cluster.instances.values()).allSatisfy((instance) -> {
				assertThat(instance.servingState(cluster.nowMillis)).isEqualTo(ServingState.READY);
				assertThat(instance.appliedRules().getRevision()).isEqualTo(7);
			});
		}

	}

	@Nested
	class Startup {

		// A message takes one tick of 50 ms.
		private static final long MAXIMUM_STARTUP_MILLIS = 600;

		@Test
		void instancesThatStartTogetherAreReadyInTime() {
			SimulatedCluster cluster = new SimulatedCluster(INSTANCE_COUNT, 7);
			assertThat(runUntilAllReady(cluster)).isLessThanOrEqualTo(MAXIMUM_STARTUP_MILLIS);
		}

		@Test
		void instancesThatStartBeforeTheirSeedsAreReadyInTime() {
			SimulatedCluster cluster = new SimulatedCluster(INSTANCE_COUNT, 7);
			for (int seed = 0; seed < 3; seed++) {
				cluster.stop("node-" + seed);
			}
			cluster.run(730);
			for (int seed = 0; seed < 3; seed++) {
				cluster.start("node-" + seed);
				cluster.confirmRules("node-" + seed, 1);
			}
			assertThat(runUntilAllReady(cluster)).isLessThanOrEqualTo(MAXIMUM_STARTUP_MILLIS);
		}

		private long runUntilAllReady(SimulatedCluster cluster) {
			long startMillis = cluster.nowMillis;
			while (!cluster.instances.values()
				.stream()
				.allMatch((instance) -> instance.servingState(cluster.nowMillis) == ServingState.READY)) {
				assertThat(cluster.nowMillis).as("time").isLessThan(startMillis + 20_000);
				cluster.run(SimulatedCluster.TICK_MILLIS);
			}
			return cluster.nowMillis - startMillis;
		}

	}

	@Nested
	class Isolation {

		@Test
		void instanceWithoutConnectionsBecomesIsolated() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.isolate("node-4");
			cluster.run(6_000);
			assertThat(cluster.instance(4).servingState(cluster.nowMillis)).isEqualTo(ServingState.ISOLATED);
			assertThat(cluster.instance(5).servingState(cluster.nowMillis)).isEqualTo(ServingState.READY);
		}

		@Test
		void instanceStaysIsolatedForAnHourAndRecovers() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.isolate("node-4");
			cluster.run(3_600_000);
			assertThat(cluster.instance(4).servingState(cluster.nowMillis)).isEqualTo(ServingState.ISOLATED);
			cluster.restoreLinks();
			cluster.offerRules("node-1", 9);
			cluster.run(20_000);
			assertThat(cluster.instance(4).servingState(cluster.nowMillis)).isEqualTo(ServingState.READY);
			assertThat(cluster.instance(4).appliedRules().getRevision()).isEqualTo(9);
		}

		@ParameterizedTest
		@ValueSource(longs = { 0, 2_000, 60_000, 3_600_000 })
		void resumedInstanceDoesNotServeOutdatedRules(long frozenMillis) {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.freeze("node-4");
			cluster.run(frozenMillis);
			cluster.offerRules("node-1", 9);
			cluster.run(3_000);
			cluster.resume("node-4");
			assertThat(cluster.instance(4).servingState(cluster.nowMillis)).isEqualTo(ServingState.ISOLATED);
			for (int i = 0; i < 400; i++) {
				cluster.run(SimulatedCluster.TICK_MILLIS);
				boolean ready = cluster.instance(4).servingState(cluster.nowMillis) == ServingState.READY;
				assertThat(ready && cluster.instance(4).appliedRules().getRevision() < 9).as("serves outdated rules")
					.isFalse();
			}
			assertThat(cluster.instance(4).servingState(cluster.nowMillis)).isEqualTo(ServingState.READY);
		}

	}

	@Nested
	class Upstreams {

		@Test
		void drainingIsPropagatedToAllInstancesWithinASecond() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			cluster.run(2_000);
			cluster.announce("node-8", "rotaboard-1", 2, UpstreamState.DRAINING);
			cluster.run(1_000);
			assertThat(cluster.instances.keySet())
				.allSatisfy((name) -> assertThat(cluster.readyUpstreamCount(name)).isZero());
		}

		@Test
		void lateAnnouncementDoesNotMakeDrainingUpstreamReady() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			cluster.announce("node-1", "rotaboard-1", 3, UpstreamState.DRAINING);
			cluster.run(1_000);
			assertThat(cluster.announce("node-5", "rotaboard-1", 2, UpstreamState.READY)).isFalse();
			assertThat(cluster.readyUpstreamCount("node-5")).isZero();
		}

		@Test
		void missingRenewalsExpireTheLeaseOnAllInstances() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			cluster.run(1_000);
			assertThat(cluster.readyUpstreamCount("node-9")).isOne();
			cluster.run(SimulatedCluster.LEASE_MILLIS + 1_000);
			assertThat(cluster.instances.keySet())
				.allSatisfy((name) -> assertThat(cluster.readyUpstreamCount(name)).isZero());
		}

		@Test
		void renewalsSentToAnyInstanceKeepTheLease() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			for (int sequence = 1; sequence < 40; sequence++) {
				cluster.announce("node-" + sequence % INSTANCE_COUNT, "rotaboard-1", sequence, UpstreamState.READY);
				cluster.run(500);
				assertThat(cluster.readyUpstreamCount("node-" + sequence * 7 % INSTANCE_COUNT)).isOne();
			}
		}

		@Test
		void leaseSurvivesTheLossOfItsHolder() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			cluster.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			cluster.run(500);
			cluster.stop("node-1");
			for (int sequence = 2; sequence < 30; sequence++) {
				cluster.announce("node-" + (2 + sequence % 10), "rotaboard-1", sequence, UpstreamState.READY);
				cluster.run(500);
				assertThat(cluster.readyUpstreamCount("node-15")).isOne();
			}
		}

	}

	@Nested
	class Cost {

		@Test
		void idleClusterDoesNotExceedByteRate() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			long sentBytesBefore = cluster.sentBytes;
			cluster.run(60_000);
			long bytesPerSecondAndInstance = (cluster.sentBytes - sentBytesBefore) / 60 / INSTANCE_COUNT;
			assertThat(bytesPerSecondAndInstance).isLessThan(2_000);
		}

		@Test
		void renewalsAreNotPropagated() {
			SimulatedCluster cluster = MembershipTests.this.cluster;
			for (int sequence = 1; sequence <= 30; sequence++) {
				for (int upstream = 0; upstream < 40; upstream++) {
					cluster.announce("node-" + (upstream + sequence) % INSTANCE_COUNT, "upstream-" + upstream, sequence,
							UpstreamState.READY);
				}
				if (sequence == 20) {
					cluster.sentBytes = 0;
				}
				cluster.run(1_000);
			}
			assertThat(cluster.sentBytes / 11 / INSTANCE_COUNT).isLessThan(2_000);
		}

	}

}
