package org.radishthread.routing;

/**
 * The priority and the latency objective of a request.
 *
 * @param priority the priority among queued requests, 0 being served first
 * @param objectiveAtNanos the monotonic time by which the request should complete to meet
 * the latency objective of its route, in nanoseconds
 */
public record Urgency(int priority, long objectiveAtNanos) {

	/**
	 * The urgency of a request whose route sets neither a priority nor an objective.
	 */
	public static final Urgency NORMAL = new Urgency(1, Long.MAX_VALUE);

}
