package org.radishthread.routing;

/**
 * Learns how much longer requests wait than their position in the queue suggests, because
 * others that arrive later take turns before them, and how much that varies. Not safe for
 * concurrent use.
 */
final class WaitEstimate {

	private static final double SAMPLE_WEIGHT = 0.05;

	private static final double MINIMUM_FACTOR = 0.25;

	private static final double MAXIMUM_FACTOR = 4;

	// Most waits are shorter than the mean and this many mean deviations.
	private static final double DEVIATIONS = 1;

	// Shorter waits say little about the order of service.
	private static final double MINIMUM_EXPECTED_NANOS = 10_000_000;

	private double factor = 1;

	private double deviation;

	void recordWait(double expectedNanos, double actualNanos) {
		if (expectedNanos >= MINIMUM_EXPECTED_NANOS) {
			double observedFactor = Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, actualNanos / expectedNanos));
			this.deviation += SAMPLE_WEIGHT * (Math.abs(observedFactor - this.factor) - this.deviation);
			this.factor += SAMPLE_WEIGHT * (observedFactor - this.factor);
		}
	}

	// Records the wait of a request that was not served; it would have been longer.
	void recordMinimumWait(double expectedNanos, double waitedNanos) {
		if (waitedNanos > correct(expectedNanos)) {
			recordWait(expectedNanos, waitedNanos);
		}
	}

	double correct(double expectedNanos) {
		return expectedNanos * (this.factor + DEVIATIONS * this.deviation);
	}

}
