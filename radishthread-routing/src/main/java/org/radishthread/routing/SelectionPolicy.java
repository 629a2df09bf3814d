package org.radishthread.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses among upstreams with a free slot.
 */
interface SelectionPolicy {

	/**
	 * Chooses an upstream.
	 * @param free the upstreams with a free slot, not empty
	 * @param context what else bears on the choice
	 * @return the chosen one, or empty if waiting is better than any of them
	 */
	Optional<UpstreamTracker> choose(List<UpstreamTracker> free, SelectionContext context);

}
