package org.radishthread.agreement;

import org.radishthread.kernel.Assert;

/**
 * Bounds of the claims held by a control group.
 *
 * @param lifetimeMillis how long a claim and its answer are remembered, in milliseconds
 * @param maximumClaims the greatest number of claims held
 * @param maximumBodyBytes the greatest answer body recorded, in bytes
 * @param maximumTotalBodyBytes the greatest sum of recorded bodies, in bytes
 */
public record ClaimLimits(long lifetimeMillis, int maximumClaims, int maximumBodyBytes, long maximumTotalBodyBytes) {

	/**
	 * A day of claims within about 40 MB.
	 */
	public static final ClaimLimits DEFAULTS = new ClaimLimits(24 * 3600 * 1000L, 100_000, 4 * 1024, 8 * 1024 * 1024);

	public ClaimLimits {
		Assert.isTrue(lifetimeMillis > 0, "Lifetime " + lifetimeMillis + " ms of claims must be positive.");
		Assert.isTrue(maximumClaims > 0, "Number " + maximumClaims + " of claims must be positive.");
	}

}
