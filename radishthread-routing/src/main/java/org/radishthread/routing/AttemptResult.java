package org.radishthread.routing;

import java.util.Locale;

/**
 * The result of an attempt at an upstream. Instances send it to the home of a service
 * under the name of the constant.
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
	 * Returns the name for log lines.
	 * @return the name in lower case
	 */
	public String logName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
