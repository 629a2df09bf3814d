package org.radishthread.routing;

import java.util.Locale;

/**
 * The result of an attempt at an upstream. Instances send it to the home of a service
 * under its wire name.
 */
public enum AttemptResult {

	/**
	 * The upstream returned a complete response.
	 */
	SUCCESS(false),

	/**
	 * The upstream returned an error, an incomplete response or none in time.
	 */
	FAILURE(true),

	/**
	 * The connection ended after the request was sent and before the response was
	 * complete. The upstream may have crashed.
	 */
	CONNECTION_LOST(true),

	/**
	 * No connection to the upstream could be opened.
	 */
	UNREACHABLE(true),

	/**
	 * The upstream declined the request before running it. The upstream itself works, so
	 * it is not ejected, but the router prefers upstreams that decline less often.
	 */
	SHED(false),

	/**
	 * The upstream declined a request before running it, but did not say which, so this
	 * one may have run.
	 */
	SHED_WITHOUT_ID(false),

	/**
	 * The attempt was cancelled because its response was no longer needed.
	 */
	CANCELLED(false),

	/**
	 * No attempt was made: the instance returned the grant, because it knows that the
	 * upstream must get no requests now.
	 */
	RETURNED(false);

	private final boolean countsAgainstUpstream;

	AttemptResult(boolean countsAgainstUpstream) {
		this.countsAgainstUpstream = countsAgainstUpstream;
	}

	/**
	 * Returns whether the result counts towards the ejection of the upstream.
	 * @return whether it is a failure of the upstream
	 */
	public boolean countsAgainstUpstream() {
		return this.countsAgainstUpstream;
	}

	/**
	 * Returns whether it is certain that the request did not run.
	 * @return {@code true} if it did not run, {@code false} if that is unknown
	 */
	public boolean hasNotRun() {
		return this == UNREACHABLE || this == SHED || this == RETURNED;
	}

	/**
	 * Returns whether the request may have arrived at the upstream.
	 * @return {@code false} if it is certain that it did not
	 */
	public boolean mayHaveArrived() {
		return this != UNREACHABLE && this != RETURNED;
	}

	/**
	 * Returns whether the upstream responded as it should, so that it works and can be
	 * reached.
	 * @return whether it returned a complete response or declined the request
	 */
	public boolean showsThatUpstreamWorks() {
		return this == SUCCESS || this == SHED || this == SHED_WITHOUT_ID;
	}

	/**
	 * Returns the name that is sent to the home. Earlier versions do not know all
	 * constants: a lost connection is a failure there, a request that was declined
	 * without its id is declined, and a returned grant is a cancelled attempt. Such a
	 * result is marked.
	 * @return the name of a constant that all versions know
	 */
	public String wireName() {
		return switch (this) {
			case CONNECTION_LOST -> FAILURE.name();
			case SHED_WITHOUT_ID -> SHED.name();
			case RETURNED -> CANCELLED.name();
			default -> name();
		};
	}

	/**
	 * Returns whether a mark is sent with the name, by which this result differs from the
	 * one that is called so.
	 * @return whether the result is marked
	 */
	public boolean isMarked() {
		return this == CONNECTION_LOST || this == SHED_WITHOUT_ID || this == RETURNED;
	}

	/**
	 * Returns the result with this wire name.
	 * @param wireName the name, as returned by {@link #wireName()}
	 * @param marked whether the mark was sent, see {@link #isMarked()}
	 * @return the result
	 * @throws IllegalArgumentException if no result has this name
	 */
	public static AttemptResult fromWireName(String wireName, boolean marked) {
		AttemptResult result = valueOf(wireName);
		if (!marked) {
			return result;
		}
		return switch (result) {
			case FAILURE -> CONNECTION_LOST;
			case SHED -> SHED_WITHOUT_ID;
			case CANCELLED -> RETURNED;
			default -> result;
		};
	}

	/**
	 * Returns the name for log lines.
	 * @return the name in lower case
	 */
	public String logName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
