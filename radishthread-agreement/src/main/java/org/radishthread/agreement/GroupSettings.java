package org.radishthread.agreement;

import org.radishthread.kernel.Assert;
import org.radishthread.protocol.Configuration;

/**
 * How many losses a control group bears, and when a silent voter is replaced.
 *
 * @param toleratedLosses the number of control instances that may be lost at the same
 * time while the group goes on
 * @param catchUpMillis the time after the start of its successor from which a lost
 * control instance must no longer count, in milliseconds
 */
public record GroupSettings(int toleratedLosses, long catchUpMillis) {

	/**
	 * One loss at a time, for deployments that do not state another number.
	 */
	public static final GroupSettings DEFAULTS = new GroupSettings(1, 8_000);

	// A successor needs the rest of the time to start, to join and to receive the log.
	private static final int SILENCE_DIVISOR = 2;

	// Several times the silence that makes a voter replaceable, so that an instance that
	// restarts or receives a large snapshot is not dropped.
	private static final int FORGETTING_FACTOR = 4;

	public GroupSettings {
		Assert.isTrue(toleratedLosses >= 0, "Tolerated losses " + toleratedLosses + " must not be negative.");
		Assert.isTrue(catchUpMillis > 0, "Catch-up time " + catchUpMillis + " ms must be positive.");
	}

	/**
	 * Returns the silence after which a voter is replaced by a learner that has caught
	 * up. A voter that was only frozen or cut off loses nothing by it: it joins again.
	 * @return the time, in milliseconds
	 */
	long silenceBeforeReplacementMillis() {
		return this.catchUpMillis / SILENCE_DIVISOR;
	}

	/**
	 * Returns the silence after which a learner is no longer a member.
	 * @return the time, in milliseconds
	 */
	long silenceBeforeForgettingMillis() {
		return FORGETTING_FACTOR * silenceBeforeReplacementMillis();
	}

	/**
	 * Returns the number of voters that a group should have: as many as it was founded
	 * with, but enough for the tolerated losses. It is odd, because one more voter than
	 * an odd number bears no more losses.
	 * @param configuration the configuration of the group
	 * @return the number of voters
	 */
	int targetVoters(Configuration configuration) {
		int foundingVoters = configuration.getFoundingVoters();
		// A group of an earlier version may have grown by one for each successor.
		int intendedVoters = (foundingVoters > 0) ? foundingVoters : configuration.getVotersCount() - 1;
		return Math.max(2 * this.toleratedLosses + 1, intendedVoters) | 1;
	}

}
