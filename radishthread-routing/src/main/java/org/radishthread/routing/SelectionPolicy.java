package org.radishthread.routing;

import java.util.List;
import java.util.Optional;

/**
 * Strategy for choosing among the upstreams to which a request can be sent.
 */
interface SelectionPolicy {

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams that can take the request, not empty
	 * @param context the other inputs to the choice
	 * @return the chosen upstream, or empty if the request should wait for another one
	 */
	Optional<UpstreamTracker> choose(List<UpstreamTracker> candidates, SelectionContext context);

}
