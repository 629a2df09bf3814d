package org.radishthread.routing;

/**
 * A request that asks for an upstream.
 *
 * @param id a number that is unique within the router
 * @param caller who sent the request
 * @param mayRepeat whether the request may be sent again when it is unknown whether it
 * ran
 * @param deadlineNanos the monotonic time by which an answer is of use, in nanoseconds
 */
public record Ticket(long id, String caller, boolean mayRepeat, long deadlineNanos) {
}
