package org.radishthread.agreement;

import org.radishthread.kernel.Assert;

/**
 * Timeouts and limits of a replica.
 *
 * @param heartbeatIntervalMillis the interval between two heartbeats of a leader, in
 * milliseconds
 * @param electionTimeoutMillis the time without contact after which a leader is
 * considered failed, in milliseconds; the actual timeout is random between this value and
 * twice this value
 * @param maximumEntriesPerAppend the maximum number of entries in one append request
 * @param entriesBetweenSnapshots the number of applied entries after which a snapshot is
 * taken, plus one for each rule revision and claim that the snapshot contains
 * @param group how many losses the group bears
 */
public record ReplicaSettings(long heartbeatIntervalMillis, long electionTimeoutMillis, int maximumEntriesPerAppend,
		int entriesBetweenSnapshots, GroupSettings group) {

	/**
	 * Settings for instances in several availability zones with a few milliseconds of
	 * network latency between them.
	 */
	public static final ReplicaSettings DEFAULTS = new ReplicaSettings(125, 500, 256, 512, GroupSettings.DEFAULTS);

	public ReplicaSettings {
		Assert.isTrue(heartbeatIntervalMillis > 0,
				"Heartbeat interval " + heartbeatIntervalMillis + " ms must be positive.");
		Assert.isTrue(electionTimeoutMillis > 2 * heartbeatIntervalMillis,
				"Election timeout " + electionTimeoutMillis + " ms must be longer than two heartbeat intervals.");
	}

	/**
	 * Returns these settings with other group settings.
	 * @param newGroup the group settings
	 * @return the settings
	 */
	public ReplicaSettings withGroup(GroupSettings newGroup) {
		return new ReplicaSettings(this.heartbeatIntervalMillis, this.electionTimeoutMillis,
				this.maximumEntriesPerAppend, this.entriesBetweenSnapshots, newGroup);
	}

}
