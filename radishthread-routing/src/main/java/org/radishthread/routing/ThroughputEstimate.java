package org.radishthread.routing;

/**
 * Estimates the duration of an attempt and the time between two slots becoming free, from
 * the attempts that completed.
 */
final class ThroughputEstimate {

	private static final double SAMPLE_WEIGHT = 0.05;

	private double completionIntervalNanos;

	private long lastCompletionNanos = Long.MIN_VALUE;

	private double meanServiceNanos;

	void recordCompletion(long latencyNanos, long nowNanos) {
		this.meanServiceNanos += ((this.meanServiceNanos == 0) ? 1 : SAMPLE_WEIGHT)
				* (latencyNanos - this.meanServiceNanos);
		if (this.lastCompletionNanos != Long.MIN_VALUE) {
			// A longer interval is due to missing requests, not to busy slots.
			double observedNanos = Math.min(nowNanos - this.lastCompletionNanos, this.meanServiceNanos);
			this.completionIntervalNanos += SAMPLE_WEIGHT * (observedNanos - this.completionIntervalNanos);
		}
		this.lastCompletionNanos = nowNanos;
	}

	// The mean duration of an attempt, or zero before any completed.
	double meanServiceNanos() {
		return this.meanServiceNanos;
	}

	double expectedWaitNanos(int positionInQueue) {
		return positionInQueue * this.completionIntervalNanos;
	}

}
