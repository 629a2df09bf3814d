package org.radishthread.routing;

/**
 * Estimates how much longer attempts at one upstream take than those that it completed,
 * from attempts that were cancelled without a response. Such an attempt may have run on a
 * slow upstream, but its connection may as well have gone silent. The estimate therefore
 * decays with time: an upstream that is avoided for it yields no new results. Points in
 * time are monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class OverrunEstimate {

	private static final double SAMPLE_WEIGHT = 0.2;

	/**
	 * The time constant of the decay, in which the estimate falls to about a third, in
	 * nanoseconds.
	 */
	static final double DECAY_TIME_NANOS = 1_000_000_000;

	private double overrunNanos;

	private long lastResultNanos = Long.MIN_VALUE / 2;

	// Records how much longer than usual an attempt had run when it was cancelled. It
	// would have run at least as long, so a short time is no evidence of a short run.
	void recordCancellation(double observedNanos, long nowNanos) {
		double decayedNanos = overrunNanos(nowNanos);
		if (observedNanos > decayedNanos) {
			update(decayedNanos, observedNanos, nowNanos);
		}
	}

	void recordSuccess(long nowNanos) {
		update(overrunNanos(nowNanos), 0, nowNanos);
	}

	private void update(double decayedNanos, double observedNanos, long nowNanos) {
		this.overrunNanos = decayedNanos + SAMPLE_WEIGHT * (observedNanos - decayedNanos);
		this.lastResultNanos = nowNanos;
	}

	void reset() {
		this.overrunNanos = 0;
	}

	// The estimate at this time, after decay.
	double overrunNanos(long nowNanos) {
		return this.overrunNanos * Math.exp(-(nowNanos - this.lastResultNanos) / DECAY_TIME_NANOS);
	}

}
