package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for a request that crashes each upstream that runs it and that its caller
 * repeats, and for the requests that run beside it.
 */
class CrashingRequestTests {

	// The platform allows further arrivals this long after the third crash.
	private static final long STABLE_MILLIS = 3_000;

	private static final int ALLOWED_LATER_ARRIVALS = 3;

	private static final int UPSTREAM_COUNT = 10;

	private static final long END_MILLIS = 16_000;

	private static CrashSimulation newSimulation(int gatewayCount, long seed) {
		return new CrashSimulation(gatewayCount, UPSTREAM_COUNT, seed);
	}

	// A load of three fifths of the slots, each request with a digest of its own.
	private static void sendOthers(CrashSimulation simulation, long beginMillis, long endMillis) {
		for (long millis = beginMillis; millis < endMillis; millis += 3) {
			String digest = "other-" + millis;
			simulation.at(millis, () -> simulation.send(digest, true));
		}
	}

	private static void sendCrashing(CrashSimulation simulation, long beginMillis, long intervalMillis) {
		for (long millis = beginMillis; millis < END_MILLIS; millis += intervalMillis) {
			simulation.at(millis, () -> simulation.send(CrashSimulation.CRASHING_DIGEST, false));
		}
	}

	private static void assertLaterArrivalsAreAllowed(CrashSimulation simulation) {
		assertThat(simulation.crashMillis).isNotEmpty();
		if (simulation.crashMillis.size() < 3) {
			return;
		}
		long thirdCrashMillis = simulation.crashMillis.get(2);
		assertThat(simulation.crashingArrivalMillis).filteredOn((millis) -> millis > thirdCrashMillis + STABLE_MILLIS)
			.hasSizeLessThanOrEqualTo(ALLOWED_LATER_ARRIVALS);
	}

	@Nested
	class Repetitions {

		// Incident inc1 of brazos-rota: 16 arrivals after the third crash, 28 crashes.
		@Test
		void crashingRequestEndsAtMostThreeUpstreams() {
			CrashSimulation simulation = newSimulation(1, 1);
			sendOthers(simulation, 0, END_MILLIS);
			sendCrashing(simulation, 1_000, 250);
			simulation.runUntil(END_MILLIS);
			assertLaterArrivalsAreAllowed(simulation);
			assertThat(simulation.crashMillis).hasSizeLessThanOrEqualTo(3);
		}

		@Test
		void crashingRequestThatComesSeveralTimesAtOnceIsStopped() {
			CrashSimulation simulation = newSimulation(1, 2);
			sendOthers(simulation, 0, END_MILLIS);
			for (int i = 0; i < 4; i++) {
				sendCrashing(simulation, 1_000 + i, 400);
			}
			simulation.runUntil(END_MILLIS);
			assertLaterArrivalsAreAllowed(simulation);
		}

		@Test
		void crashingRequestIsStoppedWithoutOtherLoad() {
			CrashSimulation simulation = newSimulation(1, 3);
			sendCrashing(simulation, 1_000, 1_000);
			simulation.runUntil(END_MILLIS);
			assertLaterArrivalsAreAllowed(simulation);
			assertThat(simulation.crashMillis).hasSizeLessThanOrEqualTo(3);
		}

	}

	@Nested
	class Homes {

		@Test
		void crashingRequestIsStoppedWhileTheHomeMoves() {
			for (long seed = 0; seed < 20; seed++) {
				CrashSimulation simulation = newSimulation(6, seed);
				simulation.messageLoss = 0.3;
				sendOthers(simulation, 0, END_MILLIS);
				sendCrashing(simulation, 1_000, 150 + 37 * seed);
				for (long millis = 1_100; millis < END_MILLIS; millis += 400 + 90 * seed) {
					simulation.at(millis, simulation::moveHome);
				}
				simulation.runUntil(END_MILLIS);
				assertLaterArrivalsAreAllowed(simulation);
			}
		}

		@Test
		void crashingRequestIsStoppedWhenTheHomeLosesItsMemory() {
			for (long seed = 0; seed < 20; seed++) {
				CrashSimulation simulation = newSimulation(6, seed);
				sendOthers(simulation, 0, END_MILLIS);
				sendCrashing(simulation, 1_000, 300 + 41 * seed);
				for (long millis = 3_000 + 100 * seed; millis < END_MILLIS; millis += 5_000) {
					simulation.at(millis, simulation::restartHome);
				}
				simulation.runUntil(END_MILLIS);
				assertLaterArrivalsAreAllowed(simulation);
			}
		}

	}

	@Nested
	class OtherRequests {

		// Other requests are lost with the crashing one, and come back.
		@Test
		void othersAreServedWhileOneRequestCrashesUpstreams() {
			for (long seed = 0; seed < 10; seed++) {
				CrashSimulation simulation = newSimulation(3, seed);
				sendOthers(simulation, 0, END_MILLIS - 2_000);
				sendCrashing(simulation, 1_000, 200 + 50 * seed);
				simulation.runUntil(END_MILLIS);
				assertThat(simulation.servedDigests.size() / (double) simulation.sentDigests.size()).as("seed %d", seed)
					.isGreaterThan(0.98);
				assertThat(simulation.quarantinedRequestsAtHome("other")).as("seed %d", seed).isZero();
			}
		}

		// Half of the upstreams crash at once, twice.
		@Test
		void requestsThatRanBesideEachOtherAreServedAfterCrashes() {
			for (long seed = 0; seed < 10; seed++) {
				CrashSimulation simulation = newSimulation(3, seed);
				sendOthers(simulation, 0, 8_000);
				simulation.at(2_000 + seed, () -> simulation.crashPlaces(0, 5));
				simulation.at(2_300 + 3 * seed, () -> simulation.crashPlaces(5, 3));
				simulation.runUntil(9_000);
				List<String> unserved = simulation.sentDigests.stream()
					.filter((digest) -> !simulation.servedDigests.contains(digest))
					.toList();
				long millis = 9_000;
				for (String digest : unserved) {
					simulation.at(millis, () -> simulation.send(digest, true));
					millis += 5;
				}
				simulation.runUntil(millis + 2_000);
				assertThat(simulation.quarantinedRequestsAtHome("other")).as("seed %d", seed).isZero();
				assertThat(simulation.servedDigests).as("seed %d", seed).containsAll(unserved);
			}
		}

	}

}
