package org.radishthread.routing;

/**
 * A request that asks for an upstream.
 *
 * @param id a number that is unique within the router
 * @param caller who sent the request
 * @param mayRepeat whether the request may be sent again when it is unknown whether it
 * ran
 * @param deadlineNanos the monotonic time by which an answer is of use, in nanoseconds
 * @param zone the availability zone of the instance that holds the request, or empty for
 * the router's own
 * @param urgency how much it matters to answer soon
 * @param maximumAttempts the greatest number of upstreams to which it may be sent
 */
public record RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos, String zone,
		Urgency urgency, int maximumAttempts) {

	private static final int DEFAULT_MAXIMUM_ATTEMPTS = 3;

	public RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos) {
		this(id, caller, mayRepeat, deadlineNanos, "", Urgency.NORMAL, DEFAULT_MAXIMUM_ATTEMPTS);
	}

}
