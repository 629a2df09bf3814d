package org.radishthread.routing;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PaceEstimate}, {@link CrowdingEstimate}, {@link DemandEstimate} and
 * {@link RetryBudget}.
 */
class EstimateTests {

	private static final long MILLI = 1_000_000;

	private static final long SECOND = 1_000 * MILLI;

	@Nested
	class Pace {

		private final PaceEstimate pace = new PaceEstimate();

		@Test
		void freshReportCountsInFull() {
			this.pace.reported(400, 0);
			assertThat(this.pace.factor(0)).isEqualTo(4);
		}

		@Test
		void oldReportReturnsToTheMean() {
			this.pace.reported(400, 0);
			assertThat(this.pace.factor(4 * PaceEstimate.MEMORY_NANOS)).isLessThan(1.3);
		}

		@Test
		void reportWithoutAPaceChangesNothing() {
			this.pace.reported(400, 0);
			this.pace.reported(0, MILLI);
			assertThat(this.pace.factor(MILLI)).isGreaterThan(3.9);
		}

	}

	@Nested
	class Crowding {

		private static final int SLOTS = 3;

		private final CrowdingEstimate crowding = new CrowdingEstimate();

		private void observe(int inFlight, double nanos) {
			for (int i = 0; i < CrowdingEstimate.TRUSTED_SAMPLES; i++) {
				this.crowding.finished(inFlight, SLOTS, nanos);
			}
		}

		@Test
		void unknownServiceUsesAllItsSlots() {
			observe(3, 170);
			assertThat(this.crowding.costsMoreThanItBrings(SLOTS)).isFalse();
		}

		@Test
		void lastSlotThatSlowsTheOthersIsLeftFree() {
			observe(2, 100);
			observe(3, 170);
			assertThat(this.crowding.costsMoreThanItBrings(SLOTS)).isTrue();
		}

		@Test
		void lastSlotThatCostsLittleIsUsed() {
			observe(2, 100);
			observe(3, 120);
			assertThat(this.crowding.costsMoreThanItBrings(SLOTS)).isFalse();
		}

		@Test
		void costIsTriedAgainNowAndThen() {
			int trials = 0;
			for (int i = 0; i < 400; i++) {
				trials += this.crowding.isTrialDue() ? 1 : 0;
			}
			assertThat(trials).isBetween(5, 20);
		}

		@Test
		void smallUpstreamsAlwaysHaveOneCalmSlot() {
			assertThat(CrowdingEstimate.calmSlots(1)).isEqualTo(1);
			assertThat(CrowdingEstimate.calmSlots(3)).isEqualTo(2);
			assertThat(CrowdingEstimate.calmSlots(6)).isEqualTo(4);
		}

	}

	@Nested
	class Demand {

		@Test
		void pauseFollowsTheArrivalsAndEndsInIdleness() {
			DemandEstimate demand = new DemandEstimate();
			for (int i = 0; i < 200; i++) {
				demand.arrived(i * 10 * MILLI);
			}
			assertThat(demand.pauseNanos()).isBetween(9.0 * MILLI, 12.0 * MILLI);
			assertThat(demand.isIdle(2_000 * MILLI)).isFalse();
			assertThat(demand.isIdle(4_000 * MILLI)).isTrue();
		}

	}

	@Nested
	class Retries {

		private final RetryBudget budget = new RetryBudget();

		private int takeAll(long now) {
			int taken = 0;
			while (this.budget.tryAcquire(now)) {
				taken++;
			}
			return taken;
		}

		@Test
		void stockIsBoundedHoweverLongNothingWasTaken() {
			takeAll(0);
			assertThat(takeAll(3_600 * SECOND)).isEqualTo(14);
		}

		@Test
		void windowOfTenSecondsStaysBelowAFifthOfTheRequestsAndFiftyMore() {
			int taken = takeAll(0);
			int requests = 0;
			for (long now = 0; now < 10 * SECOND; now += 10 * MILLI) {
				requests++;
				this.budget.recordRequest(15);
				taken += takeAll(now);
			}
			assertThat(taken).isLessThanOrEqualTo(requests / 5 + 50);
		}

		@Test
		void hedgesLeaveAReserveForRetries() {
			int hedges = 0;
			while (this.budget.tryAcquireForHedge(0)) {
				hedges++;
			}
			assertThat(hedges).isPositive();
			assertThat(takeAll(0)).isGreaterThanOrEqualTo(2);
		}

	}

}
