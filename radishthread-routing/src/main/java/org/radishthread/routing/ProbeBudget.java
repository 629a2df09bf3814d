package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * One instance's share of the measuring budget of a service. The share depends only on
 * the greatest number of instances that may exist, never on how many are in sight, so
 * that the sum over all instances keeps the budget in every window of
 * {@link #WINDOW_NANOS}, whoever joins, is lost or is cut off.
 */
public final class ProbeBudget {

	/**
	 * The window over which the budget holds, in nanoseconds.
	 */
	public static final long WINDOW_NANOS = 10_000_000_000L;

	private final long pauseNanos;

	private long nextNanos;

	/**
	 * Creates the share of one instance.
	 * @param probesPerSecond the budget of all instances together
	 * @param maximumInstances the greatest number of instances that may exist
	 * @param now the monotonic time, in nanoseconds; a new instance waits for one pause,
	 * so that restarts do not add probes
	 */
	public ProbeBudget(int probesPerSecond, int maximumInstances, long now) {
		Assert.isTrue(maximumInstances > 0, "Number " + maximumInstances + " of instances must be positive.");
		long share = probesPerSecond * (WINDOW_NANOS / 1_000_000_000L) / maximumInstances;
		this.pauseNanos = (share == 0) ? Long.MAX_VALUE : (WINDOW_NANOS + share - 1) / share;
		this.nextNanos = (share == 0) ? Long.MAX_VALUE : now + this.pauseNanos;
	}

	/**
	 * Takes a probe from the share.
	 * @param now the monotonic time, in nanoseconds
	 * @return whether a probe may be sent now
	 */
	public boolean tryAcquire(long now) {
		if (now < this.nextNanos) {
			return false;
		}
		this.nextNanos = now + this.pauseNanos;
		return true;
	}

}
