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

	private static final List<ReplicaDescriptor> THREE = List.of(replica(1), replica(2), replica(3));

	private static final List<ReplicaDescriptor> TWO = List.of(replica(1), replica(4));

	private static ReplicaDescriptor replica(int number) {
		return ReplicaDescriptor.newBuilder()
			.setId(number)
			.setInstance("control-" + number)
			.setAddress("10.0.0." + number + ":1")
			.build();
	}

	private static Observation without(List<ReplicaDescriptor> control) {
		return new Observation(false, false, control);
	}

	@Nested
	class Founding {

		private final GroupFormation founder = new GroupFormation(replica(1), SEEDS, true);

		@Test
		void oneSeedFoundsWithAllThatItKnowsOnceNoMoreAppear() {
			assertThat(this.founder.nextAction(without(List.of(replica(1))), 0)).isEmpty();
			List<ReplicaDescriptor> four = List.of(replica(1), replica(2), replica(3), replica(4));
			assertThat(this.founder.nextAction(without(four), 500)).isEmpty();
			assertThat(this.founder.nextAction(without(four), 500 + GroupFormation.SETTLING_MILLIS))
				.contains(new BootstrapGroup(four));
		}

		@Test
		void otherSeedsAndOtherInstancesNeverFound() {
			for (int number : new int[] { 2, 3, 4 }) {
				GroupFormation other = new GroupFormation(replica(number), SEEDS, true);
				for (long now = 0; now < 20_000; now += 250) {
					assertThat(other.nextAction(without(THREE), now))
						.isNotEqualTo(Optional.of(new BootstrapGroup(THREE)));
				}
			}
		}

		@Test
		void founderWaitsForAMajorityOfSeeds() {
			for (long now = 0; now < 30_000; now += 250) {
				assertThat(this.founder.nextAction(without(TWO), now))
					.isNotEqualTo(Optional.of(new BootstrapGroup(TWO)));
			}
		}

		@Test
		void instanceThatLostItsDiskNeverFounds() {
			GroupFormation wiped = new GroupFormation(replica(1), SEEDS, false);
			Optional<MembershipAction> last = Optional.empty();
			for (long now = 0; now <= 10_000; now += 250) {
				Optional<MembershipAction> step = wiped.nextAction(without(THREE), now);
				assertThat(step).isNotEqualTo(Optional.of(new BootstrapGroup(THREE)));
				last = step.or(() -> Optional.of(new JoinGroup(replica(1))));
			}
			assertThat(last).contains(new JoinGroup(replica(1)));
		}

	}

	@Nested
	class Joining {

		private final GroupFormation late = new GroupFormation(replica(4), SEEDS, false);

		@Test
		void instanceWithoutAGroupAsksAgainAndAgain() {
			this.late.nextAction(without(THREE), 0);
			assertThat(this.late.nextAction(without(THREE), GroupFormation.JOIN_PAUSE_MILLIS))
				.contains(new JoinGroup(replica(4)));
			assertThat(this.late.nextAction(without(THREE), GroupFormation.JOIN_PAUSE_MILLIS + 250)).isEmpty();
			assertThat(this.late.nextAction(without(THREE), 2 * GroupFormation.JOIN_PAUSE_MILLIS))
				.contains(new JoinGroup(replica(4)));
		}

		@Test
		void memberAsksOnlyAfterALongTimeWithoutALeader() {
			Observation leaderless = new Observation(true, false, THREE);
			this.late.nextAction(new Observation(true, true, THREE), 0);
			assertThat(this.late.nextAction(leaderless, GroupFormation.LEADERLESS_MILLIS - 1)).isEmpty();
			assertThat(this.late.nextAction(leaderless, GroupFormation.LEADERLESS_MILLIS))
				.contains(new JoinGroup(replica(4)));
		}

	}

}
