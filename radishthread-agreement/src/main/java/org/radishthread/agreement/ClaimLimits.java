package org.radishthread.agreement;

import org.radishthread.kernel.Assert;

/**
 * Limits for the claims that a control group stores.
 *
 * @param lifetimeMillis how long a claim and its recorded response are retained, in
 * milliseconds
 * @param maximumClaims the maximum number of claims
 * @param maximumBodyBytes the maximum size of one recorded response body, in bytes
 * @param maximumTotalBodyBytes the maximum total size of the recorded response bodies, in
 * bytes
 */
public record ClaimLimits(long lifetimeMillis, int maximumClaims, int maximumBodyBytes, long maximumTotalBodyBytes) {

	/**
	 * Retains claims for one day, within about 40 MB of memory.
	 */
	public static final ClaimLimits DEFAULTS = new ClaimLimits(24 * 3600 * 1000L, 100_000, 4 * 1024, 8 * 1024 * 1024);

	public ClaimLimits {
		Assert.isTrue(lifetimeMillis > 0, "Claim lifetime " + lifetimeMillis + " ms must be positive.");
		Assert.isTrue(maximumClaims > 0, "Maximum number of claims " + maximumClaims + " must be positive.");
	}

}
