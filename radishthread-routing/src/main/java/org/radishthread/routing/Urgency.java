package org.radishthread.routing;

/**
 * How much it matters to answer a request soon.
 *
 * @param priority the rank among requests that wait, 0 first
 * @param objectiveAtNanos the monotonic time until which an answer is of full use, in
 * nanoseconds
 */
public record Urgency(int priority, long objectiveAtNanos) {

	/**
	 * The urgency of a request whose route names none.
	 */
	public static final Urgency NORMAL = new Urgency(1, Long.MAX_VALUE);

}
