package org.radishthread.routing;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PaceEstimate}, {@link AttemptPace}, {@link OverrunEstimate},
 * {@link ContentionEstimate}, {@link ArrivalEstimate} and {@link RetryBudget}.
 */
class EstimateTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

	@Nested
	class Pace {

		private final PaceEstimate pace = new PaceEstimate();

		@Test
		void currentReportDeterminesThePace() {
			this.pace.recordReport(400, 0);
			assertThat(this.pace.currentPace(0)).isEqualTo(4);
		}

		@Test
		void paceReturnsToTheMeanAsTheReportAges() {
			this.pace.recordReport(400, 0);
			assertThat(this.pace.currentPace(4 * PaceEstimate.DECAY_TIME_NANOS)).isLessThan(1.3);
		}

		@Test
		void slowPaceIsTransientWhileItIsKnown() {
			this.pace.recordReport(400, 0);
			assertThat(this.pace.isTransientlyAbove(2, NANOS_PER_MILLI)).isTrue();
			assertThat(this.pace.isTransientlyAbove(2, NANOS_PER_SECOND)).isFalse();
		}

		// Guards against an upstream that is slow for good, and gets no requests.
		@Test
		void slowPaceThatLastsIsNotTransient() {
			for (int i = 0; i < 100; i++) {
				this.pace.recordReport(400, i * NANOS_PER_MILLI);
			}
			assertThat(this.pace.isTransientlyAbove(2, 100 * NANOS_PER_MILLI)).isFalse();
		}

		@Test
		void attemptBeganAtThePaceThatIsReportedOnceItHasReachedTheUpstream() {
			this.pace.recordReport(100, 0);
			AttemptPace attempt = this.pace.startAttempt(NANOS_PER_MILLI);
			this.pace.recordReport(100, 5 * NANOS_PER_MILLI);
			this.pace.recordReport(400, 40 * NANOS_PER_MILLI);
			this.pace.recordReport(100, 300 * NANOS_PER_MILLI);
			assertThat(attempt.estimatePercent()).isEqualTo(100);
			assertThat(attempt.corrected()).isBetween(2.0, 3.0);
		}

		@Test
		void reportWithoutAPaceIsIgnored() {
			this.pace.recordReport(400, 0);
			this.pace.recordReport(0, NANOS_PER_MILLI);
			assertThat(this.pace.currentPace(NANOS_PER_MILLI)).isGreaterThan(3.9);
		}

	}

	@Nested
	class Overruns {

		private static final double OBSERVED_NANOS = NANOS_PER_SECOND;

		private final OverrunEstimate overrun = new OverrunEstimate();

		private void cancelAttempts(int count, long nowNanos) {
			for (int i = 0; i < count; i++) {
				this.overrun.recordCancellation(OBSERVED_NANOS, nowNanos);
			}
		}

		@Test
		void cancelledAttemptsCountForASecond() {
			cancelAttempts(10, 0);
			assertThat(this.overrun.overrunNanos(0)).isGreaterThan(0.8 * OBSERVED_NANOS);
			assertThat(this.overrun.overrunNanos(3 * NANOS_PER_SECOND)).isLessThan(0.1 * OBSERVED_NANOS);
		}

		@Test
		void attemptsThatTheUpstreamCompletesTakeTheEstimateBack() {
			cancelAttempts(10, 0);
			for (int i = 0; i < 10; i++) {
				this.overrun.recordSuccess(0);
			}
			assertThat(this.overrun.overrunNanos(0)).isLessThan(0.2 * OBSERVED_NANOS);
		}

		@Test
		void attemptThatWasCancelledEarlyIsNoEvidence() {
			cancelAttempts(10, 0);
			double before = this.overrun.overrunNanos(NANOS_PER_MILLI);
			this.overrun.recordCancellation(-NANOS_PER_MILLI, NANOS_PER_MILLI);
			assertThat(this.overrun.overrunNanos(NANOS_PER_MILLI)).isEqualTo(before);
		}

	}

	@Nested
	class Contention {

		private static final int SLOTS = 3;

		private final ContentionEstimate contention = new ContentionEstimate();

		private void recordAttempts(int inFlight, double durationNanos) {
			for (int i = 0; i < ContentionEstimate.REQUIRED_SAMPLES; i++) {
				this.contention.recordAttempt(inFlight, SLOTS, durationNanos);
			}
		}

		@Test
		void allSlotsAreUsedWithoutEnoughSamples() {
			recordAttempts(3, 170);
			assertThat(this.contention.reducesThroughput(SLOTS)).isFalse();
		}

		@Test
		void slotThatReducesThroughputIsNotUsed() {
			recordAttempts(2, 100);
			recordAttempts(3, 170);
			assertThat(this.contention.reducesThroughput(SLOTS)).isTrue();
		}

		@Test
		void slotThatRaisesThroughputIsUsed() {
			recordAttempts(2, 100);
			recordAttempts(3, 120);
			assertThat(this.contention.reducesThroughput(SLOTS)).isFalse();
		}

		@Test
		void contentionIsMeasuredAgainAtIntervals() {
			int trials = 0;
			for (int i = 0; i < 400; i++) {
				trials += this.contention.tryStartTrial() ? 1 : 0;
			}
			assertThat(trials).isBetween(5, 20);
		}

		@Test
		void everyUpstreamHasAnUncontendedSlot() {
			assertThat(ContentionEstimate.uncontendedSlots(1)).isEqualTo(1);
			assertThat(ContentionEstimate.uncontendedSlots(3)).isEqualTo(2);
			assertThat(ContentionEstimate.uncontendedSlots(6)).isEqualTo(4);
		}

	}

	@Nested
	class Arrivals {

		@Test
		void intervalFollowsTheArrivalsUntilTheServiceIsIdle() {
			ArrivalEstimate arrivals = new ArrivalEstimate();
			for (int i = 0; i < 200; i++) {
				arrivals.recordArrival(i * 10 * NANOS_PER_MILLI);
			}
			assertThat(arrivals.intervalNanos()).isBetween(9.0 * NANOS_PER_MILLI, 12.0 * NANOS_PER_MILLI);
			assertThat(arrivals.isIdle(2_000 * NANOS_PER_MILLI)).isFalse();
			assertThat(arrivals.isIdle(4_000 * NANOS_PER_MILLI)).isTrue();
		}

	}

	@Nested
	class RetryTokens {

		private final RetryBudget budget = new RetryBudget(RetryLimits.DEFAULTS);

		private int acquireAll(long nowNanos) {
			int acquired = 0;
			while (this.budget.tryAcquire(nowNanos)) {
				acquired++;
			}
			return acquired;
		}

		@Test
		void tokensAreBoundedAfterALongIdlePeriod() {
			this.budget.recordRequest(15, true, 0);
			acquireAll(0);
			assertThat(acquireAll(3_600 * NANOS_PER_SECOND)).isLessThanOrEqualTo(14);
		}

		@Test
		void retriesInTenSecondsStayBelowAFifthOfTheRequestsPlusFifty() {
			int acquired = acquireAll(0);
			int requests = 0;
			for (long nowNanos = 0; nowNanos < 10 * NANOS_PER_SECOND; nowNanos += 10 * NANOS_PER_MILLI) {
				requests++;
				this.budget.recordRequest(15, true, nowNanos);
				acquired += acquireAll(nowNanos);
			}
			assertThat(acquired).isLessThanOrEqualTo(requests / 5 + 50);
		}

		@Test
		void hedgesLeaveTokensForRetries() {
			for (int i = 0; i < 100; i++) {
				this.budget.recordRequest(15, true, 0);
			}
			int hedges = 0;
			while (this.budget.tryAcquireForHedge(0)) {
				hedges++;
			}
			assertThat(hedges).isPositive();
			assertThat(acquireAll(0)).isGreaterThanOrEqualTo(2);
		}

	}

}
