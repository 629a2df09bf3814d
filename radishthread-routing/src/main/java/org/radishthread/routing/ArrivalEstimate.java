package org.radishthread.routing;

/**
 * Estimates how often requests arrive.
 */
final class ArrivalEstimate {

	/**
	 * The time without a request after which a service counts as idle, in nanoseconds.
	 */
	static final long IDLE_AFTER_NANOS = 1_000_000_000L;

	private static final double SAMPLE_WEIGHT = 0.05;

	private double intervalNanos = IDLE_AFTER_NANOS;

	private long lastArrivalNanos = Long.MIN_VALUE / 2;

	void recordArrival(long nowNanos) {
		double observedNanos = Math.min(IDLE_AFTER_NANOS, nowNanos - this.lastArrivalNanos);
		this.intervalNanos += SAMPLE_WEIGHT * (observedNanos - this.intervalNanos);
		this.lastArrivalNanos = nowNanos;
	}

	boolean isIdle(long nowNanos) {
		return nowNanos - this.lastArrivalNanos > IDLE_AFTER_NANOS;
	}

	// The mean time between two requests.
	double intervalNanos() {
		return this.intervalNanos;
	}

}
