package org.radishthread.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The upstreams whose slots are granted to one request of another instance, until the
 * ends of their attempts are reported or the request is closed. Safe for use by several
 * threads.
 */
final class OpenGrants {

	private final Set<String> upstreams = new HashSet<>();

	private boolean closed;

	/**
	 * Adds a grant.
	 * @param upstream the name of the upstream
	 * @return whether the request is open; otherwise nobody reports the end of the
	 * attempt, so that the slot must be released at once
	 */
	synchronized boolean add(String upstream) {
		if (this.closed) {
			return false;
		}
		this.upstreams.add(upstream);
		return true;
	}

	/**
	 * Removes a grant whose attempt has ended.
	 * @param upstream the name of the upstream
	 * @return whether the grant was open
	 */
	synchronized boolean remove(String upstream) {
		return this.upstreams.remove(upstream);
	}

	/**
	 * Returns whether no attempt is known to be under way.
	 * @return whether there are no grants
	 */
	synchronized boolean isEmpty() {
		return this.upstreams.isEmpty();
	}

	/**
	 * Removes all grants and takes no further ones.
	 * @return the upstreams whose attempts were not reported to have ended
	 */
	synchronized List<String> close() {
		this.closed = true;
		List<String> remainingUpstreams = List.copyOf(this.upstreams);
		this.upstreams.clear();
		return remainingUpstreams;
	}

}
