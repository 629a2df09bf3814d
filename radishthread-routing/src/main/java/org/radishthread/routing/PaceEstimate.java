package org.radishthread.routing;

/**
 * Estimates the pace of one upstream: its current service time relative to the usual one.
 * Reports are valid for a short time only, so the estimate returns to the long-term mean
 * as the latest report ages.
 */
final class PaceEstimate {

	/**
	 * The time constant with which the weight of a report decays, in nanoseconds: the
	 * load of shared machines changes within a few hundred milliseconds.
	 */
	static final long DECAY_TIME_NANOS = 250_000_000;

	private static final double USUAL_PACE_PERCENT = 100;

	private static final double MEAN_SAMPLE_WEIGHT = 0.05;

	private double meanPace = 1;

	private double reportedPace = 1;

	private long lastReportNanos = Long.MIN_VALUE / 2;

	void recordReport(int pacePercent, long nowNanos) {
		if (pacePercent <= 0) {
			return;
		}
		this.reportedPace = pacePercent / USUAL_PACE_PERCENT;
		this.lastReportNanos = nowNanos;
		this.meanPace += MEAN_SAMPLE_WEIGHT * (this.reportedPace - this.meanPace);
	}

	// The current service time relative to the usual one; 1 is the usual pace.
	double currentPace(long nowNanos) {
		double reportWeight = Math.exp(-(double) Math.max(0, nowNanos - this.lastReportNanos) / DECAY_TIME_NANOS);
		return this.meanPace + (this.reportedPace - this.meanPace) * reportWeight;
	}

}
