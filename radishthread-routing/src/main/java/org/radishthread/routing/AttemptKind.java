package org.radishthread.routing;

import java.util.Locale;

/**
 * Why a request is sent to an upstream.
 */
public enum AttemptKind {

	/**
	 * The first attempt.
	 */
	FIRST,

	/**
	 * Another attempt after one that failed.
	 */
	RETRY,

	/**
	 * Another attempt beside one that is slow.
	 */
	HEDGE;

	/**
	 * Returns the word used in logs.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
