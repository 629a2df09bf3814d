package org.radishthread.agreement;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.agreement.GroupFormation.Found;
import org.radishthread.agreement.GroupFormation.Join;
import org.radishthread.agreement.GroupFormation.Observation;
import org.radishthread.agreement.GroupFormation.Step;
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
			assertThat(this.founder.next(without(List.of(replica(1))), 0)).isEmpty();
			List<ReplicaDescriptor> four = List.of(replica(1), replica(2), replica(3), replica(4));
			assertThat(this.founder.next(without(four), 500)).isEmpty();
			assertThat(this.founder.next(without(four), 500 + GroupFormation.SETTLING_MILLIS))
				.contains(new Found(four));
		}

		@Test
		void otherSeedsAndOtherInstancesNeverFound() {
			for (int number : new int[] { 2, 3, 4 }) {
				GroupFormation other = new GroupFormation(replica(number), SEEDS, true);
				for (long now = 0; now < 20_000; now += 250) {
					assertThat(other.next(without(THREE), now)).isNotEqualTo(Optional.of(new Found(THREE)));
				}
			}
		}

		@Test
		void founderWaitsForAMajorityOfSeeds() {
			for (long now = 0; now < 30_000; now += 250) {
				assertThat(this.founder.next(without(TWO), now)).isNotEqualTo(Optional.of(new Found(TWO)));
			}
		}

		@Test
		void instanceThatLostItsDiskNeverFounds() {
			GroupFormation wiped = new GroupFormation(replica(1), SEEDS, false);
			Optional<Step> last = Optional.empty();
			for (long now = 0; now <= 10_000; now += 250) {
				Optional<Step> step = wiped.next(without(THREE), now);
				assertThat(step).isNotEqualTo(Optional.of(new Found(THREE)));
				last = step.or(() -> Optional.of(new Join(replica(1))));
			}
			assertThat(last).contains(new Join(replica(1)));
		}

	}

	@Nested
	class Joining {

		private final GroupFormation late = new GroupFormation(replica(4), SEEDS, false);

		@Test
		void instanceWithoutAGroupAsksAgainAndAgain() {
			this.late.next(without(THREE), 0);
			assertThat(this.late.next(without(THREE), GroupFormation.JOIN_PAUSE_MILLIS)).contains(new Join(replica(4)));
			assertThat(this.late.next(without(THREE), GroupFormation.JOIN_PAUSE_MILLIS + 250)).isEmpty();
			assertThat(this.late.next(without(THREE), 2 * GroupFormation.JOIN_PAUSE_MILLIS))
				.contains(new Join(replica(4)));
		}

		@Test
		void memberAsksOnlyAfterALongTimeWithoutALeader() {
			Observation leaderless = new Observation(true, false, THREE);
			this.late.next(new Observation(true, true, THREE), 0);
			assertThat(this.late.next(leaderless, GroupFormation.LEADERLESS_MILLIS - 1)).isEmpty();
			assertThat(this.late.next(leaderless, GroupFormation.LEADERLESS_MILLIS)).contains(new Join(replica(4)));
		}

	}

}
