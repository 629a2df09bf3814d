package org.radishthread.agreement;

import org.radishthread.kernel.Assert;

/**
 * Timing and sizes of a replica.
 *
 * @param heartbeatMillis the pause between two heartbeats of a leader, in milliseconds
 * @param electionTimeoutMillis the silence after which a leader counts as lost, in
 * milliseconds; elections start at random between one and two of it
 * @param entriesPerAppend the greatest number of entries in one message
 * @param entriesBetweenSnapshots the number of applied entries after which a snapshot is
 * taken, in addition to one for each record that the snapshot holds
 */
public record ReplicaSettings(long heartbeatMillis, long electionTimeoutMillis, int entriesPerAppend,
		int entriesBetweenSnapshots) {

	/**
	 * Values for instances in a few availability zones some milliseconds apart.
	 */
	public static final ReplicaSettings DEFAULTS = new ReplicaSettings(125, 500, 256, 512);

	public ReplicaSettings {
		Assert.isTrue(heartbeatMillis > 0, "Heartbeat " + heartbeatMillis + " ms must be positive.");
		Assert.isTrue(electionTimeoutMillis > 2 * heartbeatMillis,
				"Election timeout " + electionTimeoutMillis + " ms must exceed two heartbeats.");
	}

}
