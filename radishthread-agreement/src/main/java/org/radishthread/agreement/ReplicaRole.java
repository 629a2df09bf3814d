package org.radishthread.agreement;

import java.util.Locale;

/**
 * The part that a replica plays in its group.
 */
public enum ReplicaRole {

	/**
	 * Belongs to no group: neither votes nor founds one by itself.
	 */
	UNFOUNDED,

	/**
	 * Follows a leader, or waits for one.
	 */
	FOLLOWER,

	/**
	 * Asks whether an election could succeed, without raising its term.
	 */
	PRE_CANDIDATE,

	/**
	 * Asks for votes in a new term.
	 */
	CANDIDATE,

	/**
	 * Appends entries and decides what is committed.
	 */
	LEADER;

	/**
	 * Returns the word shown to operators.
	 * @return the name in lower case with hyphens
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
