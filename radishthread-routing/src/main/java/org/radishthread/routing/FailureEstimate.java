package org.radishthread.routing;

/**
 * Estimates how often an attempt at one upstream brings no answer, because it refuses or
 * fails. What was seen is forgotten with time, because an upstream that is passed over
 * shows nothing new.
 */
final class FailureEstimate {

	private static final double WEIGHT = 0.2;

	/**
	 * The time in which a share of failures falls to about a third, in nanoseconds: an
	 * upstream that was full has room again after some requests.
	 */
	static final double MEMORY_NANOS = 1_000_000_000;

	// However often an upstream failed, it counts as answering some requests.
	private static final double LEAST_ANSWERED_SHARE = 0.1;

	private double share;

	private long changedNanos = Long.MIN_VALUE / 2;

	void finished(AttemptResult result, long now) {
		if (result == AttemptResult.CANCELLED) {
			return;
		}
		double remembered = share(now);
		double seen = (result == AttemptResult.SUCCESS) ? 0 : 1;
		this.share = remembered + WEIGHT * (seen - remembered);
		this.changedNanos = now;
	}

	// The share of the attempts that fail.
	private double share(long now) {
		return this.share * Math.exp(-(now - this.changedNanos) / MEMORY_NANOS);
	}

	// The attempts that it takes until one is answered.
	double expectedAttempts(long now) {
		return 1 / Math.max(LEAST_ANSWERED_SHARE, 1 - share(now));
	}

}
