package org.radishthread.membership;

import org.radishthread.protocol.RuleFile;

/**
 * Follows the rules in force and never takes a lower revision than it has applied.
 */
final class RuleFollower {

	private static final long REQUEST_RETRY_MILLIS = 500;

	private RuleFile applied = RuleFile.getDefaultInstance();

	private long requestedMillis = Long.MIN_VALUE / 2;

	private long behindSince = Long.MAX_VALUE;

	RuleFile applied() {
		return this.applied;
	}

	long revision() {
		return this.applied.getRevision();
	}

	// Returns whether the offered rules are now in force.
	boolean offer(RuleFile offered) {
		if (offered.getRevision() <= revision()) {
			return false;
		}
		this.applied = offered;
		this.requestedMillis = Long.MIN_VALUE / 2;
		this.behindSince = Long.MAX_VALUE;
		return true;
	}

	// Returns whether the rules of a peer should be asked for now.
	boolean shouldRequest(long peerRevision, long now) {
		if (peerRevision <= revision()) {
			return false;
		}
		this.behindSince = Math.min(this.behindSince, now);
		if (now - this.requestedMillis < REQUEST_RETRY_MILLIS) {
			return false;
		}
		this.requestedMillis = now;
		return true;
	}

	boolean isBehindLongerThan(long millis, long now) {
		return this.behindSince != Long.MAX_VALUE && now - this.behindSince > millis;
	}

}
