package org.radishthread.routing;

/**
 * Estimates how often one upstream refuses requests before running them. Refusals are
 * forgotten with time, because an upstream that is passed over shows nothing new.
 */
final class ShedEstimate {

	private static final double WEIGHT = 0.2;

	/**
	 * The time in which a share of refusals falls to about a third, in nanoseconds: an
	 * upstream that was full has room again after some requests.
	 */
	static final double MEMORY_NANOS = 1_000_000_000;

	// However often an upstream refused, it counts as accepting some requests.
	private static final double LEAST_ACCEPTED_SHARE = 0.1;

	private double share;

	private long changedNanos = Long.MIN_VALUE / 2;

	void finished(AttemptResult result, long now) {
		if (result != AttemptResult.SHED && result != AttemptResult.SUCCESS) {
			return;
		}
		double remembered = share(now);
		double seen = (result == AttemptResult.SHED) ? 1 : 0;
		this.share = remembered + WEIGHT * (seen - remembered);
		this.changedNanos = now;
	}

	// The share of the requests that are refused.
	private double share(long now) {
		return this.share * Math.exp(-(now - this.changedNanos) / MEMORY_NANOS);
	}

	// The attempts that it takes until one is accepted.
	double expectedAttempts(long now) {
		return 1 / Math.max(LEAST_ACCEPTED_SHARE, 1 - share(now));
	}

}
