package org.radishthread.rules;

import org.radishthread.kernel.Assert;

/**
 * Ages of the rules up to which an instance may decide on the keys of callers.
 *
 * @param failClosed whether requests with keys are refused by an instance that does not
 * know which keys were withdrawn recently
 * @param revokeMillis the time after the withdrawal of a key was acknowledged within
 * which it must not be served any more, in milliseconds
 * @param rulesApplyMillis the time after their acceptance within which rules must be in
 * force everywhere, in milliseconds
 */
public record KeyLimits(boolean failClosed, long revokeMillis, long rulesApplyMillis) {

	// The rest covers the way of an attempt from the check to the upstream, and clocks
	// that run at different rates.
	private static final double USABLE_SHARE = 0.9;

	public KeyLimits {
		Assert.isTrue(revokeMillis > 0, "Time to revoke " + revokeMillis + " ms must be greater than zero.");
		Assert.isTrue(rulesApplyMillis > 0, "Time to apply " + rulesApplyMillis + " ms must be greater than zero.");
	}

	/**
	 * Returns the age of the rules above which no key is accepted.
	 * @return the age in milliseconds, very high if keys are accepted at any age
	 */
	public long usableAgeMillis() {
		return this.failClosed ? (long) (USABLE_SHARE * this.revokeMillis) : Long.MAX_VALUE;
	}

}
