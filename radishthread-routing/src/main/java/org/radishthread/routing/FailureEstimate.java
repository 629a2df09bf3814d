package org.radishthread.routing;

/**
 * Estimates the share of attempts at one upstream that it sheds or that fail. The
 * estimate decays with time, because an upstream that is avoided for its failures yields
 * no new results.
 */
final class FailureEstimate {

	private static final double SAMPLE_WEIGHT = 0.2;

	/**
	 * The time constant of the decay, in which the estimate falls to about a third, in
	 * nanoseconds. It is short because an overloaded upstream has free capacity again
	 * after it has completed a few requests.
	 */
	static final double DECAY_TIME_NANOS = 1_000_000_000;

	// Bounds the expected attempts when all recent attempts failed.
	private static final double MINIMUM_SUCCESS_SHARE = 0.1;

	private double failureShare;

	private long lastResultNanos = Long.MIN_VALUE / 2;

	void recordResult(AttemptResult result, long nowNanos) {
		if (result == AttemptResult.CANCELLED) {
			return;
		}
		double decayedShare = failureShare(nowNanos);
		double observedShare = (result == AttemptResult.SUCCESS) ? 0 : 1;
		this.failureShare = decayedShare + SAMPLE_WEIGHT * (observedShare - decayedShare);
		this.lastResultNanos = nowNanos;
	}

	// The estimate at this time, after decay.
	private double failureShare(long nowNanos) {
		return this.failureShare * Math.exp(-(nowNanos - this.lastResultNanos) / DECAY_TIME_NANOS);
	}

	// The expected number of attempts until one succeeds.
	double expectedAttempts(long nowNanos) {
		return 1 / Math.max(MINIMUM_SUCCESS_SHARE, 1 - failureShare(nowNanos));
	}

}
