package org.radishthread.daemon.gateway;

/**
 * Names of the HTTP headers that callers, instances and upstreams exchange.
 */
final class RadishthreadHeader {

	/**
	 * States whether a request ran. Set on problem responses to callers, and by upstreams
	 * that decline a request.
	 */
	static final String OUTCOME = "Radishthread-Outcome";

	/**
	 * Time that remains for the response, in milliseconds.
	 */
	static final String DEADLINE = "Radishthread-Deadline";

	/**
	 * Id of a request, sent to the upstream, which may return it with its response.
	 */
	static final String REQUEST = "Radishthread-Request";

	/**
	 * Set on a recorded response that is sent again to a repeated once-only request.
	 */
	static final String REPLAYED = "Radishthread-Replayed";

	/**
	 * Key of a once-only request; requests with the same key run at most once.
	 */
	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/**
	 * Key by which a caller identifies its workspace.
	 */
	static final String CALLER_KEY = "Radishthread-Key";

	/**
	 * Name of the caller's workspace, sent to the upstream.
	 */
	static final String WORKSPACE = "Radishthread-Workspace";

	private RadishthreadHeader() {
	}

}
