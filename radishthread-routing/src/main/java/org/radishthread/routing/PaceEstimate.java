package org.radishthread.routing;

/**
 * Estimates how much longer than usual work takes at one upstream now. Reports are true
 * for a short time only: with their age the estimate returns to the long-term mean.
 */
final class PaceEstimate {

	/**
	 * The time in which a report loses most of its weight, in nanoseconds: load on shared
	 * machines shifts within some hundred milliseconds.
	 */
	static final long MEMORY_NANOS = 250_000_000;

	private static final double PERCENT = 100;

	private static final double MEAN_WEIGHT = 0.05;

	private double mean = 1;

	private double last = 1;

	private long lastNanos = Long.MIN_VALUE / 2;

	void reported(int pacePercent, long now) {
		if (pacePercent <= 0) {
			return;
		}
		this.last = pacePercent / PERCENT;
		this.lastNanos = now;
		this.mean += MEAN_WEIGHT * (this.last - this.mean);
	}

	// The factor on the usual time of work.
	double factor(long now) {
		double remembered = Math.exp(-(double) Math.max(0, now - this.lastNanos) / MEMORY_NANOS);
		return this.mean + (this.last - this.mean) * remembered;
	}

}
