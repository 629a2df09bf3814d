package org.radishthread.routing;

/**
 * Estimates how often requests arrive.
 */
final class ArrivalEstimate {

	/**
	 * The time without a request after which there is no demand, in nanoseconds.
	 */
	static final long IDLE_NANOS = 1_000_000_000L;

	private static final double WEIGHT = 0.05;

	private double pauseNanos = IDLE_NANOS;

	private long lastNanos = Long.MIN_VALUE / 2;

	void arrived(long now) {
		double pause = Math.min(IDLE_NANOS, now - this.lastNanos);
		this.pauseNanos += WEIGHT * (pause - this.pauseNanos);
		this.lastNanos = now;
	}

	boolean isIdle(long now) {
		return now - this.lastNanos > IDLE_NANOS;
	}

	// The mean pause between two requests, in nanoseconds.
	double pauseNanos() {
		return this.pauseNanos;
	}

}
