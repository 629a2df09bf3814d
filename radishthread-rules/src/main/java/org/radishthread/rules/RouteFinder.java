package org.radishthread.rules;

import java.util.Optional;

/**
 * Strategy for finding the route of a request.
 */
@FunctionalInterface
public interface RouteFinder {

	/**
	 * Finds the route that applies to a request.
	 * @param host the host that the request names, without a port
	 * @param method the HTTP method
	 * @param path the path without the query
	 * @return the route, if any
	 */
	Optional<RouteRule> find(String host, String method, String path);

}
