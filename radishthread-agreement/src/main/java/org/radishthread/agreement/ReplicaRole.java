package org.radishthread.agreement;

import java.util.Locale;

/**
 * Role of a replica in its group.
 */
public enum ReplicaRole {

	/**
	 * Belongs to no group. Neither votes nor bootstraps a group on its own.
	 */
	UNFOUNDED,

	/**
	 * Replicates the log of a leader, or waits for the first message of one.
	 */
	FOLLOWER,

	/**
	 * Checks with the voters whether it could win an election, without incrementing its
	 * term (pre-vote).
	 */
	PRE_CANDIDATE,

	/**
	 * Requests votes in a new term.
	 */
	CANDIDATE,

	/**
	 * Appends entries to the log and advances the commit index.
	 */
	LEADER;

	/**
	 * Returns the name that is used in messages, responses and log lines.
	 * @return the name in lower case with hyphens
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
