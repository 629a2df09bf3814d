package org.radishthread.rules;

import java.time.Duration;

/**
 * Sends requests of one method and path pattern to a service.
 *
 * @param line the line of the rule file, counted from 1
 * @param service the name of the service
 * @param method the HTTP method, or {@code *} for all
 * @param pattern the path pattern
 * @param mode how often the request may be sent
 * @param timeout how long a call may take in all; for {@link RouteMode#UPLOAD} how long
 * it may make no progress
 * @param askedBy who asked for the rule
 */
public record RouteRule(int line, String service, String method, PathPattern pattern, RouteMode mode, Duration timeout,
		String askedBy) {

	/**
	 * Matches a request.
	 * @param requestMethod the HTTP method
	 * @param path the path without the query
	 * @return whether this rule applies
	 */
	public boolean matches(String requestMethod, String path) {
		return (this.method.equals("*") || this.method.equals(requestMethod)) && this.pattern.matches(path);
	}

}
