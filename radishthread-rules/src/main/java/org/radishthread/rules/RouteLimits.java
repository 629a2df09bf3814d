package org.radishthread.rules;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;

/**
 * Bounds and aims of the requests of a route.
 *
 * @param timeout how long a call may take in all; for {@link RouteMode#UPLOAD} how long
 * it may make no progress
 * @param totalTimeout how long an upload may take in all, or {@code null} for no such
 * bound
 * @param objective the time within which an answer is of full use to the caller
 * @param priority the rank among requests that wait for the same service, 0 first
 * @param maximumAttempts the greatest number of upstreams to which one request may be
 * sent
 */
public record RouteLimits(Duration timeout, @Nullable Duration totalTimeout, Duration objective, int priority,
		int maximumAttempts) {

	/**
	 * The rank of routes that name none.
	 */
	public static final int DEFAULT_PRIORITY = 1;

	/**
	 * The number of upstreams for routes that name none.
	 */
	public static final int DEFAULT_MAXIMUM_ATTEMPTS = 3;

	public RouteLimits {
		Assert.isTrue(priority >= 0, "Priority " + priority + " must not be negative.");
		Assert.isTrue(maximumAttempts >= 1, "Attempts " + maximumAttempts + " must be positive.");
	}

	/**
	 * Returns limits that name only a timeout.
	 * @param timeout how long a call may take
	 * @return the limits, with the timeout as objective
	 */
	public static RouteLimits ofTimeout(Duration timeout) {
		return new RouteLimits(timeout, null, timeout, DEFAULT_PRIORITY, DEFAULT_MAXIMUM_ATTEMPTS);
	}

}
