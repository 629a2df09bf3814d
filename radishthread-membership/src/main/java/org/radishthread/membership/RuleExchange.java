package org.radishthread.membership;

import java.util.Optional;

import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleRequest;

/**
 * Holds the rules that this instance applies, and exchanges them with peers: it requests
 * those of a peer with a higher revision, and responds to such requests. Only a higher
 * revision replaces the applied one. Not thread-safe; times are monotonic, in
 * milliseconds.
 */
final class RuleExchange {

	private static final long REQUEST_INTERVAL_MILLIS = 500;

	private RuleFile ruleFile = RuleFile.getDefaultInstance();

	private boolean changed;

	private boolean confirmed;

	private long lastRequestMillis = Long.MIN_VALUE / 2;

	private long behindSinceMillis = Long.MAX_VALUE;

	RuleFile ruleFile() {
		return this.ruleFile;
	}

	long revision() {
		return this.ruleFile.getRevision();
	}

	// Whether the applied rules were confirmed to be in force since this process started
	// or resumed.
	boolean isConfirmed() {
		return this.confirmed;
	}

	// The revision to tell peers. Rules read from the disk, or received from a peer that
	// just started, may be older than the accepted ones, so they must not count as in
	// force.
	long reportedRevision() {
		return this.confirmed ? revision() : InstanceTable.UNCONFIRMED_REVISION;
	}

	// Returns whether the rules were applied.
	boolean applyIfNewer(RuleFile offeredRules) {
		if (offeredRules.getRevision() <= revision()) {
			return false;
		}
		this.ruleFile = offeredRules;
		this.changed = true;
		this.lastRequestMillis = Long.MIN_VALUE / 2;
		this.behindSinceMillis = Long.MAX_VALUE;
		return true;
	}

	void confirm() {
		this.confirmed = true;
	}

	void resetAfterFreeze() {
		this.confirmed = false;
	}

	// Returns the applied rules for a peer, unless its revision is not lower.
	Optional<RuleFile> respond(RuleRequest request) {
		return (revision() > request.getKnownRevision()) ? Optional.of(this.ruleFile) : Optional.empty();
	}

	// Returns the request to send to a peer now, if it has a higher revision. The next
	// request is due after the request interval.
	Optional<RuleRequest> createRequest(long peerRevision, long nowMillis) {
		if (peerRevision <= revision()) {
			return Optional.empty();
		}
		this.behindSinceMillis = Math.min(this.behindSinceMillis, nowMillis);
		if (nowMillis - this.lastRequestMillis < REQUEST_INTERVAL_MILLIS) {
			return Optional.empty();
		}
		this.lastRequestMillis = nowMillis;
		return Optional.of(RuleRequest.newBuilder().setKnownRevision(revision()).build());
	}

	boolean isBehindLongerThan(long durationMillis, long nowMillis) {
		return this.behindSinceMillis != Long.MAX_VALUE && nowMillis - this.behindSinceMillis > durationMillis;
	}

	// Returns whether rules were applied since the last call.
	boolean drainChanged() {
		boolean drainedChange = this.changed;
		this.changed = false;
		return drainedChange;
	}

}
