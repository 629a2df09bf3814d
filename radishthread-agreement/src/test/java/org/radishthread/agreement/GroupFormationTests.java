package org.radishthread.agreement;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.agreement.GroupFormation.BootstrapGroup;
import org.radishthread.agreement.GroupFormation.JoinGroup;
import org.radishthread.agreement.GroupFormation.MembershipAction;
import org.radishthread.agreement.GroupFormation.Observation;
import org.radishthread.protocol.ReplicaDescriptor;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupFormation}.
 */
class GroupFormationTests {

	private static final List<String> SEEDS = List.of("10.0.0.3:1", "10.0.0.1:1", "10.0.0.2:1");

	private static final List<ReplicaDescriptor> THREE_SEEDS = List.of(replica(1), replica(2), replica(3));

	private static final List<ReplicaDescriptor> ONE_SEED_AND_OTHER = List.of(replica(1), replica(4));

	private static ReplicaDescriptor replica(int number) {
		return ReplicaDescriptor.newBuilder()
			.setId(number)
			.setInstance("control-" + number)
			.setAddress("10.0.0." + number + ":1")
			.build();
	}

	private static Observation observationWithoutGroup(List<ReplicaDescriptor> controlReplicas) {
		return new Observation(false, false, controlReplicas);
	}

	@Nested
	class Bootstrap {

		private final GroupFormation bootstrapSeed = new GroupFormation(replica(1), SEEDS, true,
				GroupSettings.DEFAULTS);

		@Test
		void lowestSeedBootstrapsWithAllDiscoveredReplicasOnceStable() {
			assertThat(this.bootstrapSeed.nextAction(observationWithoutGroup(List.of(replica(1))), 0)).isEmpty();
			List<ReplicaDescriptor> replicas = List.of(replica(1), replica(2), replica(3), replica(4));
			assertThat(this.bootstrapSeed.nextAction(observationWithoutGroup(replicas), 500)).isEmpty();
			assertThat(this.bootstrapSeed.nextAction(observationWithoutGroup(replicas),
					500 + GroupFormation.STABLE_MEMBERSHIP_MILLIS))
				.contains(new BootstrapGroup(replicas));
		}

		@Test
		void otherInstancesNeverBootstrap() {
			for (int number : new int[] { 2, 3, 4 }) {
				GroupFormation formation = new GroupFormation(replica(number), SEEDS, true, GroupSettings.DEFAULTS);
				for (long nowMillis = 0; nowMillis < 20_000; nowMillis += 250) {
					assertThat(formation.nextAction(observationWithoutGroup(THREE_SEEDS), nowMillis))
						.isNotEqualTo(Optional.of(new BootstrapGroup(THREE_SEEDS)));
				}
			}
		}

		@Test
		void bootstrapWaitsForMajorityOfSeeds() {
			for (long nowMillis = 0; nowMillis < 30_000; nowMillis += 250) {
				assertThat(this.bootstrapSeed.nextAction(observationWithoutGroup(ONE_SEED_AND_OTHER), nowMillis))
					.isNotEqualTo(Optional.of(new BootstrapGroup(ONE_SEED_AND_OTHER)));
			}
		}

		@Test
		void instanceWithLostDiskNeverBootstraps() {
			GroupFormation instanceWithLostDisk = new GroupFormation(replica(1), SEEDS, false, GroupSettings.DEFAULTS);
			Optional<MembershipAction> lastAction = Optional.empty();
			for (long nowMillis = 0; nowMillis <= 10_000; nowMillis += 250) {
				Optional<MembershipAction> action = instanceWithLostDisk
					.nextAction(observationWithoutGroup(THREE_SEEDS), nowMillis);
				assertThat(action).isNotEqualTo(Optional.of(new BootstrapGroup(THREE_SEEDS)));
				lastAction = action.or(() -> Optional.of(new JoinGroup(replica(1))));
			}
			assertThat(lastAction).contains(new JoinGroup(replica(1)));
		}

	}

	@Nested
	class Joining {

		private final GroupFormation lateInstance = new GroupFormation(replica(4), SEEDS, false,
				GroupSettings.DEFAULTS);

		@Test
		void instanceWithoutGroupRequestsToJoinPeriodically() {
			this.lateInstance.nextAction(observationWithoutGroup(THREE_SEEDS), 0);
			assertThat(this.lateInstance.nextAction(observationWithoutGroup(THREE_SEEDS),
					GroupFormation.JOIN_INTERVAL_MILLIS))
				.contains(new JoinGroup(replica(4)));
			assertThat(this.lateInstance.nextAction(observationWithoutGroup(THREE_SEEDS),
					GroupFormation.JOIN_INTERVAL_MILLIS + 250))
				.isEmpty();
			assertThat(this.lateInstance.nextAction(observationWithoutGroup(THREE_SEEDS),
					2 * GroupFormation.JOIN_INTERVAL_MILLIS))
				.contains(new JoinGroup(replica(4)));
		}

		@Test
		void memberRequestsToJoinOnlyAfterLeaderLossTimeout() {
			Observation leaderLost = new Observation(true, false, THREE_SEEDS);
			this.lateInstance.nextAction(new Observation(true, true, THREE_SEEDS), 0);
			assertThat(this.lateInstance.nextAction(leaderLost,
					GroupSettings.DEFAULTS.silenceBeforeReplacementMillis() - 1))
				.isEmpty();
			assertThat(
					this.lateInstance.nextAction(leaderLost, GroupSettings.DEFAULTS.silenceBeforeReplacementMillis()))
				.contains(new JoinGroup(replica(4)));
		}

	}

}
