package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.Queue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HomeAvailability}.
 */
class HomeAvailabilityTests {

	private static final String HOME = "10.1.0.4:7520";

	private static final long RESPONSE_TIMEOUT_MILLIS = 150;

	private static final long START_MILLIS = 60_000;

	private final HomeAvailability availability = new HomeAvailability();

	private long nowMillis = START_MILLIS;

	/**
	 * Sends requests at regular intervals to a home that does not respond, and counts
	 * those that are sent there.
	 */
	private int countRequestsSentToASilentHome(long intervalMillis, long durationMillis) {
		Queue<Long> silentAtMillis = new ArrayDeque<>();
		int count = 0;
		for (long endMillis = this.nowMillis
				+ durationMillis; this.nowMillis < endMillis; this.nowMillis += intervalMillis) {
			while (!silentAtMillis.isEmpty() && silentAtMillis.peek() <= this.nowMillis) {
				this.availability.recordSilence(HOME, silentAtMillis.remove());
			}
			if (this.availability.tryUse(HOME, this.nowMillis)) {
				silentAtMillis.add(this.nowMillis + RESPONSE_TIMEOUT_MILLIS);
				count++;
			}
		}
		return count;
	}

	@Nested
	class LostHome {

		// Guards against requests that all wait for a lost home whenever it is tried
		// again: those before its loss is noticed, and then one for each trial.
		@Test
		void oneRequestAtATimeFindsOutThatItIsStillLost() {
			int beforeNoticed = (int) RESPONSE_TIMEOUT_MILLIS / 10 + 1;
			assertThat(countRequestsSentToASilentHome(10, 5_000)).isLessThanOrEqualTo(beforeNoticed + 5);
		}

		@Test
		void itIsTriedLessOftenTheLongerItIsSilent() {
			countRequestsSentToASilentHome(10, 10_000);
			assertThat(countRequestsSentToASilentHome(10, 8_000)).isBetween(1, 3);
		}

		// Guards against gateways that lose most of their requests to a lost home because
		// they send so few that each of them is due as a trial.
		@Test
		void gatewayWithFewRequestsLosesOnlyTheFirstOfThem() {
			assertThat(countRequestsSentToASilentHome(2_000, 20_000)).isEqualTo(1);
		}

	}

	@Nested
	class HomeThatReturns {

		@Test
		void itIsUsedAgainOnceATrialIsAnswered() {
			HomeAvailability availability = HomeAvailabilityTests.this.availability;
			availability.recordSilence(HOME, START_MILLIS);
			assertThat(availability.tryUse(HOME, START_MILLIS + 900)).isFalse();
			assertThat(availability.tryUse(HOME, START_MILLIS + 1_100)).isTrue();
			availability.recordResponse(HOME);
			assertThat(availability.tryUse(HOME, START_MILLIS + 1_103)).isTrue();
			assertThat(availability.tryUse(HOME, START_MILLIS + 1_104)).isTrue();
		}

		@Test
		void itIsTriedAgainIfATrialHasNoResult() {
			HomeAvailability availability = HomeAvailabilityTests.this.availability;
			availability.recordSilence(HOME, START_MILLIS);
			assertThat(availability.tryUse(HOME, START_MILLIS + 1_100)).isTrue();
			assertThat(availability.tryUse(HOME, START_MILLIS + 3_000)).isTrue();
		}

		// Guards against a home that is too slow, and that is asked again at once because
		// of its late responses.
		@Test
		void responseThatComesTooLateDoesNotEndTheTime() {
			HomeAvailability availability = HomeAvailabilityTests.this.availability;
			availability.recordSilence(HOME, START_MILLIS);
			availability.recordResponse(HOME);
			assertThat(availability.tryUse(HOME, START_MILLIS + 51)).isFalse();
		}

		// Guards against several instances that act as homes, because a home was slow for
		// a moment and is left out ever longer.
		@Test
		void homeThatRespondsLateIsTriedAgainEachSecond() {
			HomeAvailability availability = HomeAvailabilityTests.this.availability;
			long nowMillis = START_MILLIS;
			for (int trial = 0; trial < 5; trial++) {
				availability.recordSilence(HOME, nowMillis);
				availability.recordResponse(HOME);
				assertThat(availability.tryUse(HOME, nowMillis + 1_000)).isTrue();
				nowMillis += 1_000 + RESPONSE_TIMEOUT_MILLIS;
			}
		}

	}

}
