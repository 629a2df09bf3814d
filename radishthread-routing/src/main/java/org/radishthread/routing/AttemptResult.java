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
	 * The attempt was cancelled because its response was no longer needed.
	 */
	CANCELLED(false);

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
	 * Returns the name that is sent to the home. A lost connection is a failure there,
	 * with a mark of its own, because earlier versions do not know the constant.
	 * @return the name of the constant
	 */
	public String wireName() {
		return (this == CONNECTION_LOST) ? FAILURE.name() : name();
	}

	/**
	 * Returns the result with this wire name.
	 * @param wireName the name, as returned by {@link #wireName()}
	 * @param connectionLost whether the connection was lost
	 * @return the result
	 * @throws IllegalArgumentException if no result has this name
	 */
	public static AttemptResult fromWireName(String wireName, boolean connectionLost) {
		AttemptResult result = valueOf(wireName);
		return (result == FAILURE && connectionLost) ? CONNECTION_LOST : result;
	}

	/**
	 * Returns the name for log lines.
	 * @return the name in lower case
	 */
	public String logName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
