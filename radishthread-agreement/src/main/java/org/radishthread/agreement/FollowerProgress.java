package org.radishthread.agreement;

/**
 * What a leader knows of one other replica.
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

	boolean respondedSince(long millis) {
		return this.lastResponseMillis >= millis;
	}

	void responded(long round, long nowMillis) {
		this.lastResponseMillis = nowMillis;
		this.acknowledgedRound = Math.max(this.acknowledgedRound, round);
	}

	void matched(long index) {
		this.matchIndex = Math.max(this.matchIndex, index);
		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}

	void rejected(long lastPossibleIndex) {
		long lower = Math.min(this.nextIndex - 1, lastPossibleIndex + 1);
		this.nextIndex = Math.max(this.matchIndex + 1, lower);
	}

	void sentUpTo(long index) {
		this.nextIndex = index + 1;
	}

	boolean maySendSnapshot(long nowMillis) {
		return nowMillis >= this.snapshotRetryMillis;
	}

	void snapshotSent(long retryMillis) {
		this.snapshotRetryMillis = retryMillis;
	}

}
