package org.radishthread.rules;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;

/**
 * Time limits, priority and number of attempts of the requests of a route.
 *
 * @param timeout the longest time from the arrival of a request to its completion; for
 * {@link RouteMode#UPLOAD} the longest time without progress
 * @param totalTimeout the longest time from the arrival of an upload to its completion,
 * or {@code null} for no limit
 * @param objective the latency objective, after which a response is of less use to the
 * caller
 * @param priority the rank among the requests queued for a service; 0 is served first
 * @param maximumAttempts the maximum number of upstreams to which one request may be sent
 */
public record RouteLimits(Duration timeout, @Nullable Duration totalTimeout, Duration objective, int priority,
		int maximumAttempts) {

	/**
	 * The priority of a route that sets none.
	 */
	public static final int DEFAULT_PRIORITY = 1;

	/**
	 * The highest number that stands for a priority, which is served last.
	 */
	public static final int MAXIMUM_PRIORITY = 1_000;

	/**
	 * The number of upstreams to which a request may be sent if its route sets none.
	 */
	public static final int DEFAULT_MAXIMUM_ATTEMPTS = 3;

	public RouteLimits {
		Assert.isTrue(priority >= 0, "Priority " + priority + " must not be negative.");
		Assert.isTrue(maximumAttempts >= 1, "Attempts " + maximumAttempts + " must be positive.");
	}

	/**
	 * Creates limits with default priority and attempts.
	 * @param timeout the timeout, which is also the latency objective
	 * @return the limits
	 */
	public static RouteLimits ofTimeout(Duration timeout) {
		return new RouteLimits(timeout, null, timeout, DEFAULT_PRIORITY, DEFAULT_MAXIMUM_ATTEMPTS);
	}

}
