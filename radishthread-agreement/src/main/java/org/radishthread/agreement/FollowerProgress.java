package org.radishthread.agreement;

/**
 * Tracks the replication progress of one other replica on the leader.
 */
final class FollowerProgress {

	private long matchIndex;

	private long nextIndex;

	private long lastResponseMillis;

	private long acknowledgedRound;

	private long snapshotRetryMillis = Long.MIN_VALUE;

	FollowerProgress(long nextIndex, long nowMillis) {
		this.nextIndex = nextIndex;
		this.lastResponseMillis = nowMillis;
	}

	long matchIndex() {
		return this.matchIndex;
	}

	long nextIndex() {
		return this.nextIndex;
	}

	long acknowledgedRound() {
		return this.acknowledgedRound;
	}

	boolean respondedSince(long sinceMillis) {
		return this.lastResponseMillis >= sinceMillis;
	}

	void recordResponse(long round, long nowMillis) {
		this.lastResponseMillis = nowMillis;
		this.acknowledgedRound = Math.max(this.acknowledgedRound, round);
	}

	void recordMatch(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}

	void recordMismatch(long lastPossibleMatchIndex) {
		long candidateIndex = Math.min(this.nextIndex - 1, lastPossibleMatchIndex + 1);
		this.nextIndex = Math.max(this.matchIndex + 1, candidateIndex);
	}

	void recordSent(long index) {
		this.nextIndex = index + 1;
	}

	boolean canSendSnapshot(long nowMillis) {
		return nowMillis >= this.snapshotRetryMillis;
	}

	void recordSnapshotSent(long retryMillis) {
		this.snapshotRetryMillis = retryMillis;
	}

}
