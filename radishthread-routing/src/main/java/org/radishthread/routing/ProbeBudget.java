package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * The share of one instance in the probe budget of a service, which limits the probes of
 * all instances together. The share depends only on the maximum number of instances, not
 * on how many are currently known, so that the budget holds in every window of
 * {@link #WINDOW_NANOS} when instances join, fail or are partitioned from the others. Not
 * safe for concurrent use.
 */
public final class ProbeBudget {

	/**
	 * The length of the windows in which the budget holds, in nanoseconds.
	 */
	public static final long WINDOW_NANOS = 10_000_000_000L;

	private final long intervalNanos;

	private long nextProbeNanos;

	/**
	 * Creates the share of one instance.
	 * @param probesPerSecond the budget of all instances together
	 * @param maximumInstances the maximum number of instances
	 * @param nowNanos the monotonic time, in nanoseconds; the first probe is allowed one
	 * interval later, so that restarts do not add probes
	 */
	public ProbeBudget(int probesPerSecond, int maximumInstances, long nowNanos) {
		Assert.isTrue(maximumInstances > 0, "Maximum number of instances " + maximumInstances + " must be positive.");
		long probesPerWindow = probesPerSecond * (WINDOW_NANOS / 1_000_000_000L) / maximumInstances;
		this.intervalNanos = (probesPerWindow == 0) ? Long.MAX_VALUE
				: (WINDOW_NANOS + probesPerWindow - 1) / probesPerWindow;
		this.nextProbeNanos = (probesPerWindow == 0) ? Long.MAX_VALUE : nowNanos + this.intervalNanos;
	}

	/**
	 * Takes one probe from the share, if available.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return whether a probe may be sent now
	 */
	public boolean tryAcquire(long nowNanos) {
		if (nowNanos < this.nextProbeNanos) {
			return false;
		}
		this.nextProbeNanos = nowNanos + this.intervalNanos;
		return true;
	}

}
