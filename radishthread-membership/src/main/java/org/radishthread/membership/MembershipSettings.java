package org.radishthread.membership;

import java.util.List;

import org.radishthread.kernel.Assert;

/**
 * Timing and sizes of the membership protocol.
 *
 * @param seeds peer addresses of instances that are asked first
 * @param gossipMillis the least pause between two rounds of gossip, in milliseconds
 * @param fanout the number of peers addressed in a round
 * @param urgentFanout the number of peers to which a change is sent at once
 * @param bytesPerSecond the greatest rate at which heartbeats are sent, in bytes per
 * second; rounds are spaced out to keep it
 * @param silenceMillis the silence after which an instance counts as lost, in
 * milliseconds; it grows as rounds are spaced out
 * @param isolationMillis the time without news of a majority after which this instance
 * counts as isolated, in milliseconds
 * @param forgetMillis the silence after which a lost instance is forgotten, in
 * milliseconds
 */
public record MembershipSettings(List<String> seeds, long gossipMillis, int fanout, int urgentFanout,
		long bytesPerSecond, long silenceMillis, long isolationMillis, long forgetMillis) {

	public MembershipSettings {
		Assert.isTrue(gossipMillis > 0, "Gossip pause " + gossipMillis + " ms must be positive.");
		Assert.isTrue(silenceMillis > 2 * gossipMillis, "Silence " + silenceMillis + " ms must exceed two rounds.");
	}

	/**
	 * Returns values for some tens of instances.
	 * @param seeds peer addresses of instances that are asked first
	 * @return the settings
	 */
	public static MembershipSettings defaults(List<String> seeds) {
		return new MembershipSettings(seeds, 500, 2, 6, 1_200, 4_000, 5_000, 600_000);
	}

}
