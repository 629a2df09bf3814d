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

	private static final int INSTANCES = 16;

	private final FakeSystem system = new FakeSystem(INSTANCES, 3);

	MembershipTests() {
		this.system.run(6_000);
	}

	@Nested
	class Rules {

		@Test
		void revisionIsInForceEverywhereWithinThreeSeconds() {
			MembershipTests.this.system.offer("node-2", 7);
			MembershipTests.this.system.run(3_000);
			assertThat(MembershipTests.this.system.instances.values())
				.allSatisfy((node) -> assertThat(node.appliedRules().getRevision()).isEqualTo(7));
		}

		@Test
		void lowerRevisionIsNeverTaken() {
			MembershipTests.this.system.offer("node-2", 7);
			MembershipTests.this.system.run(3_000);
			MembershipTests.this.system.offer("node-5", 6);
			assertThat(MembershipTests.this.system.node(5).appliedRules().getRevision()).isEqualTo(7);
		}

		@Test
		void restartedInstanceServesNothingBeforeItHasTheRules() {
			FakeSystem system = MembershipTests.this.system;
			system.offer("node-2", 7);
			system.run(3_000);
			system.stop("node-9");
			system.run(1_000);
			system.start("node-9");
			long deadline = system.now + 10_000;
			while (system.node(9).servingState(system.now) != ServingState.READY && system.now < deadline) {
				system.run(FakeSystem.TICK_MILLIS);
			}
			assertThat(system.node(9).servingState(system.now)).isEqualTo(ServingState.READY);
			assertThat(system.node(9).appliedRules().getRevision()).isEqualTo(7);
		}

	}

	@Nested
	class StopOfAll {

		@Test
		void oldRulesFromADiskAreNotInForceBeforeTheControlGroupSaysSo() {
			FakeSystem system = MembershipTests.this.system;
			system.offer("node-2", 7);
			system.run(3_000);
			List<String> names = List.copyOf(system.instances.keySet());
			names.forEach(system::stop);
			names.forEach(system::start);
			system.offer("node-0", 6);
			system.offer("node-1", 6);
			system.run(10_000);
			assertThat(system.instances.values())
				.allSatisfy((node) -> assertThat(node.servingState(system.now)).isNotEqualTo(ServingState.READY));
			names.forEach((name) -> system.confirm(name, 7));
			system.run(1_000);
			assertThat(system.instances.values()).allSatisfy((node) -> {
				assertThat(node.servingState(system.now)).isEqualTo(ServingState.READY);
				assertThat(node.appliedRules().getRevision()).isEqualTo(7);
			});
		}

	}

	@Nested
	class Starting {

		// Each step of these tests is a message's way of up to 50 ms.
		private static final long BOUND_MILLIS = 600;

		@Test
		void instancesThatAllStartTogetherAreReadySoon() {
			FakeSystem system = new FakeSystem(INSTANCES, 7);
			assertThat(untilAllReady(system)).isLessThanOrEqualTo(BOUND_MILLIS);
		}

		@Test
		void instancesThatWaitForTheirSeedsAreReadySoonAfterThem() {
			FakeSystem system = new FakeSystem(INSTANCES, 7);
			for (int seed = 0; seed < 3; seed++) {
				system.stop("node-" + seed);
			}
			system.run(730);
			for (int seed = 0; seed < 3; seed++) {
				system.start("node-" + seed);
				system.confirm("node-" + seed, 1);
			}
			assertThat(untilAllReady(system)).isLessThanOrEqualTo(BOUND_MILLIS);
		}

		private long untilAllReady(FakeSystem system) {
			long started = system.now;
			while (!system.instances.values()
				.stream()
				.allMatch((node) -> node.servingState(system.now) == ServingState.READY)) {
				assertThat(system.now).as("time").isLessThan(started + 20_000);
				system.run(FakeSystem.TICK_MILLIS);
			}
			return system.now - started;
		}

	}

	@Nested
	class Isolation {

		@Test
		void instanceCutOffFromAllTakesNoWork() {
			FakeSystem system = MembershipTests.this.system;
			system.isolate("node-4");
			system.run(6_000);
			assertThat(system.node(4).servingState(system.now)).isEqualTo(ServingState.ISOLATED);
			assertThat(system.node(5).servingState(system.now)).isEqualTo(ServingState.READY);
		}

		@Test
		void instanceIsolatedForAnHourStaysIsolated() {
			FakeSystem system = MembershipTests.this.system;
			system.isolate("node-4");
			system.run(3_600_000);
			assertThat(system.node(4).servingState(system.now)).isEqualTo(ServingState.ISOLATED);
			system.heal();
			system.offer("node-1", 9);
			system.run(20_000);
			assertThat(system.node(4).servingState(system.now)).isEqualTo(ServingState.READY);
			assertThat(system.node(4).appliedRules().getRevision()).isEqualTo(9);
		}

		@ParameterizedTest
		@ValueSource(longs = { 0, 2_000, 60_000, 3_600_000 })
		void frozenInstanceTrustsNothingWhenItWakes(long frozenBefore) {
			FakeSystem system = MembershipTests.this.system;
			system.freeze("node-4");
			system.run(frozenBefore);
			system.offer("node-1", 9);
			system.run(3_000);
			system.wake("node-4");
			assertThat(system.node(4).servingState(system.now)).isEqualTo(ServingState.ISOLATED);
			for (int i = 0; i < 400; i++) {
				system.run(FakeSystem.TICK_MILLIS);
				boolean ready = system.node(4).servingState(system.now) == ServingState.READY;
				assertThat(ready && system.node(4).appliedRules().getRevision() < 9).as("serves old rules").isFalse();
			}
			assertThat(system.node(4).servingState(system.now)).isEqualTo(ServingState.READY);
		}

	}

	@Nested
	class Upstreams {

		@Test
		void drainingReachesEveryInstanceWithinASecond() {
			FakeSystem system = MembershipTests.this.system;
			system.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			system.run(2_000);
			system.announce("node-8", "rotaboard-1", 2, UpstreamState.DRAINING);
			system.run(1_000);
			assertThat(system.instances.keySet())
				.allSatisfy((name) -> assertThat(system.upstreamsReadyAt(name)).isZero());
		}

		@Test
		void lateReadyDoesNotRaiseOneThatDrains() {
			FakeSystem system = MembershipTests.this.system;
			system.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			system.announce("node-1", "rotaboard-1", 3, UpstreamState.DRAINING);
			system.run(1_000);
			assertThat(system.announce("node-5", "rotaboard-1", 2, UpstreamState.READY)).isFalse();
			assertThat(system.upstreamsReadyAt("node-5")).isZero();
		}

		@Test
		void silenceEndsTheLeaseEverywhere() {
			FakeSystem system = MembershipTests.this.system;
			system.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			system.run(1_000);
			assertThat(system.upstreamsReadyAt("node-9")).isOne();
			system.run(FakeSystem.LEASE_MILLIS + 1_000);
			assertThat(system.instances.keySet())
				.allSatisfy((name) -> assertThat(system.upstreamsReadyAt(name)).isZero());
		}

		@Test
		void renewalsAtAnyInstanceKeepTheLease() {
			FakeSystem system = MembershipTests.this.system;
			for (int sequence = 1; sequence < 40; sequence++) {
				system.announce("node-" + sequence % INSTANCES, "rotaboard-1", sequence, UpstreamState.READY);
				system.run(500);
				assertThat(system.upstreamsReadyAt("node-" + sequence * 7 % INSTANCES)).isOne();
			}
		}

		@Test
		void leaseOutlivesTheInstanceThatHeldIt() {
			FakeSystem system = MembershipTests.this.system;
			system.announce("node-1", "rotaboard-1", 1, UpstreamState.READY);
			system.run(500);
			system.stop("node-1");
			for (int sequence = 2; sequence < 30; sequence++) {
				system.announce("node-" + (2 + sequence % 10), "rotaboard-1", sequence, UpstreamState.READY);
				system.run(500);
				assertThat(system.upstreamsReadyAt("node-15")).isOne();
			}
		}

	}

	@Nested
	class Cost {

		@Test
		void quietSystemKeepsItsByteBudget() {
			FakeSystem system = MembershipTests.this.system;
			long before = system.bytes;
			system.run(60_000);
			long perInstanceAndSecond = (system.bytes - before) / 60 / INSTANCES;
			assertThat(perInstanceAndSecond).isLessThan(2_000);
		}

		@Test
		void renewalsAreNotSpread() {
			FakeSystem system = MembershipTests.this.system;
			for (int sequence = 1; sequence <= 30; sequence++) {
				for (int upstream = 0; upstream < 40; upstream++) {
					system.announce("node-" + (upstream + sequence) % INSTANCES, "upstream-" + upstream, sequence,
							UpstreamState.READY);
				}
				if (sequence == 20) {
					system.bytes = 0;
				}
				system.run(1_000);
			}
			assertThat(system.bytes / 11 / INSTANCES).isLessThan(2_000);
		}

	}

}
