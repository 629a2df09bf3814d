package org.radishthread.routing;

import org.radishthread.kernel.Assert;

/**
 * The limit on the retries and hedges of one service, summed over all instances: in any
 * window, at most the ratio of the requests plus the slack.
 *
 * @param ratio the retries and hedges allowed for each request
 * @param slack the retries and hedges allowed in a window in addition
 * @param windowSeconds the length of a window, in seconds
 */
public record RetryLimits(double ratio, double slack, double windowSeconds) {

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	/**
	 * The limits of a deployment whose settings state none.
	 */
	public static final RetryLimits DEFAULTS = new RetryLimits(0.2, 50, 10);

	public RetryLimits {
		Assert.isTrue(ratio >= 0 && ratio <= 1, "Retry ratio " + ratio + " must be between 0 and 1.");
		Assert.isTrue(slack >= 0, "Retry slack " + slack + " must not be negative.");
		Assert.isTrue(windowSeconds > 0, "Retry window " + windowSeconds + " s must be positive.");
	}

	long windowNanos() {
		return Math.round(this.windowSeconds * NANOS_PER_SECOND);
	}

}
