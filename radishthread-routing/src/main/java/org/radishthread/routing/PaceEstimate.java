package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the pace of one upstream: its current service time relative to the usual one.
 * Reports are valid for a short time only, so the estimate returns to the long-term mean
 * as the latest report ages. Points in time are monotonic, in nanoseconds. Not safe for
 * concurrent use.
 */
final class PaceEstimate {

	/**
	 * The time constant with which the weight of a report decays, in nanoseconds: the
	 * load of shared machines changes within a few hundred milliseconds.
	 */
	static final long DECAY_TIME_NANOS = 250_000_000;

	// A later report says almost nothing about the start of an attempt.
	private static final long CORRECTION_PERIOD_NANOS = 4 * DECAY_TIME_NANOS;

	// An older report says little about the current pace.
	private static final long KNOWN_PERIOD_NANOS = 2 * DECAY_TIME_NANOS;

	// A high pace is expected to last if the mean is above this share of it.
	private static final double LASTING_SHARE = 0.85;

	static final double USUAL_PACE_PERCENT = 100;

	private static final double MEAN_SAMPLE_WEIGHT = 0.05;

	private double meanPace = 1;

	private double reportedPace = 1;

	private long lastReportNanos = Long.MIN_VALUE / 2;

	// The attempts that no report has followed yet, in the order of their dispatch.
	private final Deque<AttemptPace> uncorrectedAttempts = new ArrayDeque<>();

	void recordReport(int pacePercent, long nowNanos) {
		if (pacePercent <= 0) {
			return;
		}
		this.reportedPace = pacePercent / USUAL_PACE_PERCENT;
		this.lastReportNanos = nowNanos;
		this.meanPace += MEAN_SAMPLE_WEIGHT * (this.reportedPace - this.meanPace);
		while (!this.uncorrectedAttempts.isEmpty() && this.uncorrectedAttempts.peek().hasReachedUpstream(nowNanos)) {
			AttemptPace attempt = this.uncorrectedAttempts.remove();
			attempt.correct(this.reportedPace, reportWeight(nowNanos - attempt.dispatchedNanos()));
		}
	}

	/**
	 * Records that an attempt is sent to the upstream.
	 * @param nowNanos the time of the dispatch
	 * @return the pace at which the attempt begins, which the next report corrects
	 */
	AttemptPace startAttempt(long nowNanos) {
		while (!this.uncorrectedAttempts.isEmpty()
				&& nowNanos - this.uncorrectedAttempts.peek().dispatchedNanos() > CORRECTION_PERIOD_NANOS) {
			this.uncorrectedAttempts.remove();
		}
		AttemptPace attempt = new AttemptPace(currentPace(nowNanos), reportWeight(nowNanos - this.lastReportNanos),
				nowNanos);
		this.uncorrectedAttempts.add(attempt);
		return attempt;
	}

	// Whether the current pace is known and above a limit, and is expected to change
	// soon.
	boolean isTransientlyAbove(double limit, long nowNanos) {
		boolean known = nowNanos - this.lastReportNanos < KNOWN_PERIOD_NANOS;
		boolean lasting = this.reportedPace > limit && this.meanPace > LASTING_SHARE * this.reportedPace;
		return known && !lasting && currentPace(nowNanos) > limit;
	}

	// The current service time relative to the usual one; 1 is the usual pace.
	double currentPace(long nowNanos) {
		return this.meanPace + (this.reportedPace - this.meanPace) * reportWeight(nowNanos - this.lastReportNanos);
	}

	// The weight of a report for a time that differs from its own.
	private static double reportWeight(long differenceNanos) {
		return Math.exp(-(double) Math.max(0, differenceNanos) / DECAY_TIME_NANOS);
	}

}
