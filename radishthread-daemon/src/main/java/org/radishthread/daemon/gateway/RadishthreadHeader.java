package org.radishthread.daemon.gateway;

/**
 * Names of the headers that callers, instances and upstreams exchange.
 */
final class RadishthreadHeader {

	/**
	 * Tells a caller, or this instance, whether a failed request ran.
	 */
	static final String OUTCOME = "Radishthread-Outcome";

	/**
	 * The time that remains for an answer, in milliseconds.
	 */
	static final String DEADLINE = "Radishthread-Deadline";

	/**
	 * Names a request towards an upstream, which may send it back with its answer.
	 */
	static final String REQUEST = "Radishthread-Request";

	/**
	 * Marks an answer that was recorded earlier.
	 */
	static final String REPLAYED = "Radishthread-Replayed";

	/**
	 * Identifies a request that must not run twice.
	 */
	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private RadishthreadHeader() {
	}

}
