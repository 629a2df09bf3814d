package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.HomeAvailability.Probe;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HomeAvailability}.
 */
class HomeAvailabilityTests {

	private static final String HOME = "10.1.0.4:7520";

	private static final long RESPONSE_TIMEOUT_MILLIS = 150;

	private static final long START_MILLIS = 60_000;

	private final HomeAvailability availability = new HomeAvailability(RESPONSE_TIMEOUT_MILLIS);

	private long nowMillis = START_MILLIS;

	private int probeCount;

	private List<Probe> takeDueProbes(long atMillis) {
		return this.availability.takeDueProbes(Map.of(HOME, true), atMillis);
	}

	/**
	 * Sends requests at regular intervals to a home that responds to nothing, and counts
	 * those that are sent there.
	 */
	private int countRequestsSentToASilentHome(long intervalMillis, long durationMillis) {
		Queue<Long> silentAtMillis = new ArrayDeque<>();
		int count = 0;
		long nextRequestMillis = this.nowMillis;
		for (long endMillis = this.nowMillis + durationMillis; this.nowMillis < endMillis; this.nowMillis++) {
			while (!silentAtMillis.isEmpty() && silentAtMillis.peek() <= this.nowMillis) {
				this.availability.recordSilence(HOME, silentAtMillis.remove());
			}
			this.probeCount += takeDueProbes(this.nowMillis).size();
			if (this.nowMillis >= nextRequestMillis) {
				nextRequestMillis += intervalMillis;
				if (!this.availability.isLeftOut(HOME)) {
					silentAtMillis.add(this.nowMillis + RESPONSE_TIMEOUT_MILLIS);
					count++;
				}
			}
		}
		return count;
	}

	@Nested
	class LostHome {

		// Guards against requests that all wait for a lost home whenever it is tried
		// again: only those before its loss is noticed do.
		@Test
		void noRequestFindsOutThatItIsStillLost() {
			int beforeNoticed = (int) RESPONSE_TIMEOUT_MILLIS / 10;
			assertThat(countRequestsSentToASilentHome(10, 5_000)).isLessThanOrEqualTo(beforeNoticed);
		}

		// Guards against too little being served (SHORT) where gateways are many: each
		// sends so few requests to a home that nearly every one was the trial of a lost
		// home.
		@Test
		void gatewayWithFewRequestsLosesOnlyTheFirstOfThem() {
			assertThat(countRequestsSentToASilentHome(2_000, 20_000)).isEqualTo(1);
		}

		@Test
		void itIsProbedLessOftenTheLongerItIsSilent() {
			countRequestsSentToASilentHome(10, 10_000);
			HomeAvailabilityTests.this.probeCount = 0;
			countRequestsSentToASilentHome(10, 8_000);
			assertThat(HomeAvailabilityTests.this.probeCount).isEqualTo(8);
		}

		@Test
		void itIsNotProbedOnceItIsNotLive() {
			HomeAvailability availability = HomeAvailabilityTests.this.availability;
			availability.recordSilence(HOME, START_MILLIS);
			assertThat(availability.takeDueProbes(Map.of(), START_MILLIS)).isEmpty();
			assertThat(availability.needsTick()).isFalse();
		}

	}

	@Nested
	class HomeThatReturns {

		private final HomeAvailability availability = HomeAvailabilityTests.this.availability;

		private long probeAt(long atMillis) {
			List<Probe> probes = takeDueProbes(atMillis);
			assertThat(probes).extracting(Probe::peerAddress).containsExactly(HOME);
			return probes.get(0).number();
		}

		@Test
		void itIsUsedAgainOnceAProbeIsAnswered() {
			this.availability.recordSilence(HOME, START_MILLIS);
			long number = probeAt(START_MILLIS);
			assertThat(this.availability.isLeftOut(HOME)).isTrue();
			this.availability.recordProbeResponse(HOME, number, START_MILLIS + 3);
			assertThat(this.availability.isLeftOut(HOME)).isFalse();
			assertThat(this.availability.needsTick()).isFalse();
		}

		@Test
		void itIsProbedAgainWithinASecond() {
			this.availability.recordSilence(HOME, START_MILLIS);
			long lastMillis = START_MILLIS;
			probeAt(lastMillis);
			for (long atMillis = START_MILLIS; atMillis < START_MILLIS + 10_000; atMillis += 50) {
				if (!takeDueProbes(atMillis).isEmpty()) {
					assertThat(atMillis - lastMillis).isLessThanOrEqualTo(1_000);
					lastMillis = atMillis;
				}
			}
			assertThat(lastMillis).isGreaterThan(START_MILLIS + 8_000);
		}

		// Guards against a home that is too slow, and that is asked again at once because
		// of its late responses.
		@Test
		void responseThatComesTooLateDoesNotEndTheTime() {
			this.availability.recordSilence(HOME, START_MILLIS);
			long number = probeAt(START_MILLIS);
			this.availability.recordProbeResponse(HOME, number, START_MILLIS + RESPONSE_TIMEOUT_MILLIS + 1);
			assertThat(this.availability.isLeftOut(HOME)).isTrue();
		}

		// Guards against the same, if a later probe is on its way when the response
		// arrives.
		@Test
		void responseToAnEarlierProbeDoesNotEndTheTime() {
			this.availability.recordSilence(HOME, START_MILLIS);
			long number = probeAt(START_MILLIS);
			probeAt(START_MILLIS + 250);
			this.availability.recordProbeResponse(HOME, number, START_MILLIS + 251);
			assertThat(this.availability.isLeftOut(HOME)).isTrue();
		}

		// Guards against several instances that act as homes, because a home was slow for
		// a moment and is left out ever longer.
		@Test
		void homeThatWasSlowForAMomentIsUsedAgainWithTheNextProbe() {
			this.availability.recordSilence(HOME, START_MILLIS);
			probeAt(START_MILLIS);
			long number = probeAt(START_MILLIS + 250);
			this.availability.recordProbeResponse(HOME, number, START_MILLIS + 260);
			assertThat(this.availability.isLeftOut(HOME)).isFalse();
		}

		// Also if it had a later version when it was left out.
		@Test
		void instanceOfAnEarlierVersionIsAskedAgainAfterAWhile() {
			this.availability.recordSilence(HOME, START_MILLIS);
			probeAt(START_MILLIS);
			Map<String, Boolean> formerVersion = Map.of(HOME, false);
			assertThat(this.availability.takeDueProbes(formerVersion, START_MILLIS + 3_900)).isEmpty();
			assertThat(this.availability.isLeftOut(HOME)).isTrue();
			assertThat(this.availability.takeDueProbes(formerVersion, START_MILLIS + 4_000)).isEmpty();
			assertThat(this.availability.isLeftOut(HOME)).isFalse();
		}

	}

}
