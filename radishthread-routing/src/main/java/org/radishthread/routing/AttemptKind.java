package org.radishthread.routing;

import java.util.Locale;

/**
 * The reason for an attempt to send a request to an upstream.
 */
public enum AttemptKind {

	/**
	 * The first attempt.
	 */
	FIRST,

	/**
	 * A further attempt after one that failed.
	 */
	RETRY,

	/**
	 * A second attempt in parallel to one that is slow.
	 */
	HEDGE;

	/**
	 * Returns the name used in slot messages and logs.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
