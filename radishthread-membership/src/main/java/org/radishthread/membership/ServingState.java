package org.radishthread.membership;

import java.util.Locale;

/**
 * Whether an instance accepts new requests, and if not, why.
 */
public enum ServingState {

	/**
	 * Accepts new requests.
	 */
	READY,

	/**
	 * Has not yet confirmed that its rules are in force, or not yet received the
	 * upstreams that other instances know.
	 */
	STARTING,

	/**
	 * Receives no heartbeats of a majority of instances, was suspended, or failed to
	 * fetch newer rules in time, so its rules may be outdated.
	 */
	ISOLATED,

	/**
	 * Completes the requests that it has begun and accepts no new ones.
	 */
	STOPPING;

	/**
	 * Returns the name of the state in responses and logs.
	 * @return the name of the constant in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
