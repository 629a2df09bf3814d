package org.radishthread.routing;

import java.util.Locale;

/**
 * How an attempt at an upstream ended.
 */
public enum AttemptResult {

	/**
	 * The upstream gave a whole answer.
	 */
	SUCCESS(false),

	/**
	 * The upstream failed, answered in part or did not answer in time.
	 */
	FAILURE(true),

	/**
	 * No connection to the upstream could be opened.
	 */
	UNREACHABLE(true),

	/**
	 * The upstream refused the request before running it. It is at work, so it is not
	 * ejected; a router learns how often it refuses.
	 */
	SHED(false),

	/**
	 * The attempt was given up because it was not needed any more.
	 */
	CANCELLED(false);

	private final boolean countsAgainstUpstream;

	AttemptResult(boolean countsAgainstUpstream) {
		this.countsAgainstUpstream = countsAgainstUpstream;
	}

	/**
	 * Returns whether the upstream comes nearer to being ejected.
	 * @return whether the result counts as a failure of the upstream
	 */
	public boolean countsAgainstUpstream() {
		return this.countsAgainstUpstream;
	}

	/**
	 * Returns the word used in logs.
	 * @return the name in lower case
	 */
	public String logName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
