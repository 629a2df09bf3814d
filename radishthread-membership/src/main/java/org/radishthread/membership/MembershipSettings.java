package org.radishthread.membership;

import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Times and limits of the membership protocol.
 *
 * @param seeds the peer addresses of the instances that are contacted to join the cluster
 * @param gossipIntervalMillis the minimum interval between two rounds of gossip, in
 * milliseconds
 * @param fanout the number of peers that a round of gossip is sent to
 * @param urgentFanout the number of peers that a change is sent to at once
 * @param heartbeatBytesPerSecond the maximum rate at which heartbeats are sent, in bytes
 * per second; the interval between rounds grows to keep it
 * @param controlHeartbeatBytesPerSecond the maximum rate at which a control instance
 * sends heartbeats to others, in bytes per second
 * @param failureTimeoutMillis the time without a heartbeat after which an instance counts
 * as lost, in milliseconds; it grows with the interval between rounds
 * @param isolationTimeoutMillis the time without heartbeats of a majority after which
 * this instance counts as isolated, in milliseconds; it grows likewise
 * @param removalTimeoutMillis the time without a heartbeat after which the record of a
 * lost instance is removed, in milliseconds
 * @param rulesApplyMillis the time after their acceptance within which rules must be in
 * force everywhere, in milliseconds
 * @param departureApplyMillis the time after its acknowledgement within which an upstream
 * that drains or has left must get no more requests from any instance, in milliseconds
 */
public record MembershipSettings(List<String> seeds, long gossipIntervalMillis, int fanout, int urgentFanout,
		long heartbeatBytesPerSecond, long controlHeartbeatBytesPerSecond, long failureTimeoutMillis,
		long isolationTimeoutMillis, long removalTimeoutMillis, long rulesApplyMillis, long departureApplyMillis) {

	/**
	 * The default of {@link #rulesApplyMillis()}, in milliseconds.
	 */
	public static final long DEFAULT_RULES_APPLY_MILLIS = 2_000;

	/**
	 * The default of {@link #departureApplyMillis()}, in milliseconds.
	 */
	public static final long DEFAULT_DEPARTURE_APPLY_MILLIS = 2_000;

	public MembershipSettings {
		Assert.isTrue(gossipIntervalMillis > 0, "Gossip interval " + gossipIntervalMillis + " ms must be positive.");
		Assert.isTrue(failureTimeoutMillis > 2 * gossipIntervalMillis,
				"Failure timeout " + failureTimeoutMillis + " ms must exceed two gossip intervals.");
		Assert.isTrue(rulesApplyMillis > 0, "Time to apply rules of " + rulesApplyMillis + " ms must be positive.");
		Assert.isTrue(departureApplyMillis > 0,
				"Time to apply departures of " + departureApplyMillis + " ms must be positive.");
	}

	/**
	 * Returns the settings for a cluster of some tens of instances.
	 * @param seeds the peer addresses of the instances that are contacted to join the
	 * cluster
	 * @return the settings
	 */
	public static MembershipSettings defaults(List<String> seeds) {
		return defaults(seeds, DEFAULT_RULES_APPLY_MILLIS, DEFAULT_DEPARTURE_APPLY_MILLIS);
	}

	/**
	 * Returns the settings for a cluster of some tens of instances.
	 * @param seeds the peer addresses of the instances that are contacted to join the
	 * cluster
	 * @param rulesApplyMillis the time after their acceptance within which rules must be
	 * in force everywhere, in milliseconds
	 * @param departureApplyMillis the time after its acknowledgement within which an
	 * upstream that drains or has left must get no more requests, in milliseconds
	 * @return the settings
	 */
	public static MembershipSettings defaults(List<String> seeds, long rulesApplyMillis, long departureApplyMillis) {
		return new MembershipSettings(seeds, 500, 2, 6, 1_200, 64_000, 4_000, 5_000, 600_000, rulesApplyMillis,
				departureApplyMillis);
	}

	/**
	 * Returns the time within which a gateway must learn of any change that the control
	 * instances know.
	 * @return the shortest of the times to apply changes, in milliseconds
	 */
	long shortestApplyMillis() {
		return Math.min(this.rulesApplyMillis, this.departureApplyMillis);
	}

}
