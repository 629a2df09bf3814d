package org.radishthread.routing;

/**
 * Estimates from completed attempts how long an attempt takes and how often a slot comes
 * free.
 */
final class ThroughputEstimate {

	private static final double WEIGHT = 0.05;

	private double nanosBetweenCompletions;

	private long lastCompletionNanos = Long.MIN_VALUE;

	private double serviceNanos;

	void completed(long latencyNanos, long now) {
		this.serviceNanos += ((this.serviceNanos == 0) ? 1 : WEIGHT) * (latencyNanos - this.serviceNanos);
		if (this.lastCompletionNanos != Long.MIN_VALUE) {
			// A pause without demand says nothing about how fast slots come free.
			double pause = Math.min(now - this.lastCompletionNanos, this.serviceNanos);
			this.nanosBetweenCompletions += WEIGHT * (pause - this.nanosBetweenCompletions);
		}
		this.lastCompletionNanos = now;
	}

	// The mean time that an attempt takes, in nanoseconds, or zero while unknown.
	double serviceNanos() {
		return this.serviceNanos;
	}

	double expectedWaitNanos(int positionInQueue) {
		return positionInQueue * this.nanosBetweenCompletions;
	}

}
