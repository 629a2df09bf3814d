package org.radishthread.membership;

import org.radishthread.protocol.RuleFile;

/**
 * Holds the rules that this instance applies and tracks whether it lags behind its peers.
 * Only a higher revision replaces the applied one.
 */
final class AppliedRules {

	private static final long REQUEST_INTERVAL_MILLIS = 500;

	private RuleFile ruleFile = RuleFile.getDefaultInstance();

	private long lastRequestMillis = Long.MIN_VALUE / 2;

	private long behindSinceMillis = Long.MAX_VALUE;

	RuleFile ruleFile() {
		return this.ruleFile;
	}

	long revision() {
		return this.ruleFile.getRevision();
	}

	// Returns whether the rules were applied.
	boolean applyIfNewer(RuleFile offeredRules) {
		if (offeredRules.getRevision() <= revision()) {
			return false;
		}
		this.ruleFile = offeredRules;
		this.lastRequestMillis = Long.MIN_VALUE / 2;
		this.behindSinceMillis = Long.MAX_VALUE;
		return true;
	}

	// Returns whether to request the rules of a peer now. If so, the next request is due
	// after the request interval.
	boolean shouldRequest(long peerRevision, long nowMillis) {
		if (peerRevision <= revision()) {
			return false;
		}
		this.behindSinceMillis = Math.min(this.behindSinceMillis, nowMillis);
		if (nowMillis - this.lastRequestMillis < REQUEST_INTERVAL_MILLIS) {
			return false;
		}
		this.lastRequestMillis = nowMillis;
		return true;
	}

	boolean isBehindLongerThan(long durationMillis, long nowMillis) {
		return this.behindSinceMillis != Long.MAX_VALUE && nowMillis - this.behindSinceMillis > durationMillis;
	}

}
