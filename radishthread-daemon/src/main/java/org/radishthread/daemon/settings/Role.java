package org.radishthread.daemon.settings;

/**
 * A role of an instance. Settings name the roles in lower case.
 */
public enum Role {

	/**
	 * Forwards the requests of callers to upstreams.
	 */
	GATEWAY,

	/**
	 * Stores rules and claims on disk, as a member of the control group.
	 */
	CONTROL

}
