package org.radishthread.routing;

/**
 * A request that is to be routed to an upstream, as far as routing depends on it.
 *
 * @param id a number that is unique within the router
 * @param caller the name of the caller
 * @param mayRepeat whether the request may be sent again when it is unknown whether it
 * ran
 * @param deadlineNanos the monotonic time after which a response is of no use, in
 * nanoseconds
 * @param zone the availability zone of the instance that received the request, or empty
 * for the zone of the router
 * @param urgency the priority and the objective of the request
 * @param maximumAttempts the maximum number of upstreams to which it may be sent
 * @param origin the peer address of the instance that received the request, or empty for
 * this instance
 * @param digest what equal requests have in common, or empty if unknown
 * @param workspace the name of the workspace of the caller, or empty for none
 * @param substituted whether the home that should route the request is left out, so that
 * another instance stands in for it, perhaps beside others
 */
public record RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos, String zone,
		Urgency urgency, int maximumAttempts, String origin, String digest, String workspace, boolean substituted) {

	private static final int DEFAULT_MAXIMUM_ATTEMPTS = 3;

	public RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos) {
		this(id, caller, mayRepeat, deadlineNanos, "", Urgency.NORMAL, DEFAULT_MAXIMUM_ATTEMPTS);
	}

	public RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos, String zone, Urgency urgency,
			int maximumAttempts) {
		this(id, caller, mayRepeat, deadlineNanos, zone, urgency, maximumAttempts, "");
	}

	public RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos, String zone, Urgency urgency,
			int maximumAttempts, String origin) {
		this(id, caller, mayRepeat, deadlineNanos, zone, urgency, maximumAttempts, origin, "");
	}

	public RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos, String zone, Urgency urgency,
			int maximumAttempts, String origin, String digest) {
		this(id, caller, mayRepeat, deadlineNanos, zone, urgency, maximumAttempts, origin, digest, "");
	}

	public RoutingRequest(long id, String caller, boolean mayRepeat, long deadlineNanos, String zone, Urgency urgency,
			int maximumAttempts, String origin, String digest, String workspace) {
		this(id, caller, mayRepeat, deadlineNanos, zone, urgency, maximumAttempts, origin, digest, workspace, false);
	}

	/**
	 * Returns this request as one that another instance than its home routes.
	 * @return the request, marked as substituted
	 */
	public RoutingRequest substitute() {
		return new RoutingRequest(this.id, this.caller, this.mayRepeat, this.deadlineNanos, this.zone, this.urgency,
				this.maximumAttempts, this.origin, this.digest, this.workspace, true);
	}

	/**
	 * Returns the name of the queue in which the request waits for its turn.
	 * @return a name for the workspace, or for the caller if it has none
	 */
	String queueName() {
		return this.workspace.isEmpty() ? "caller " + this.caller : "workspace " + this.workspace;
	}

}
