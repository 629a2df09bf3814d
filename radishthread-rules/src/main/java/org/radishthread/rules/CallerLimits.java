package org.radishthread.rules;

import java.time.Duration;

/**
 * Bounds of what a caller may send and how long it may take.
 *
 * @param maximumHeaderBytes the greatest size of the headers of a request, in bytes
 * @param maximumBodyBytes the greatest size of the body of a request, in bytes
 * @param headerTimeout how long the headers of a request may take to arrive
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, Duration headerTimeout,
		Duration idleTimeout) {

	/**
	 * The limits in force when the rules name none: the defaults of common HTTP servers.
	 */
	public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 1L << 30, Duration.ofSeconds(30),
			Duration.ofSeconds(120));

}
