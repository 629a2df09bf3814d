package org.radishthread.rules;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maximumHeaderBytes the maximum size of the headers of a request, in bytes
 * @param maximumBodyBytes the maximum size of the body of a request, in bytes
 * @param headerTimeout the time within which the headers of a request must arrive
 * @param idleTimeout the time after which a connection without a request is closed
 */
public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, Duration headerTimeout,
		Duration idleTimeout) implements LineRule {

	/**
	 * The limits that apply unless the rule file sets others. They follow the defaults of
	 * common HTTP servers.
	 */
	public static final CallerLimits DEFAULTS = new CallerLimits(16 * 1024, 1L << 30, Duration.ofSeconds(30),
			Duration.ofSeconds(120));

}
