package org.radishthread.membership;

import java.util.Locale;

/**
 * Whether an instance takes new work, and if not, why.
 */
public enum ServingState {

	/**
	 * Takes new work.
	 */
	READY,

	/**
	 * Has not yet confirmed that its rules are the ones in force.
	 */
	STARTING,

	/**
	 * Has not heard of a majority of instances, so its rules may be out of date.
	 */
	ISOLATED,

	/**
	 * Finishes what it has begun and takes nothing new.
	 */
	STOPPING;

	/**
	 * Returns the word shown to operators.
	 * @return the name in lower case
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
