package org.radishthread.daemon.settings;

/**
 * What an instance does.
 */
public enum Role {

	/**
	 * Takes requests of callers.
	 */
	GATEWAY,

	/**
	 * Keeps rules and claims on its disk.
	 */
	CONTROL

}
