package org.radishthread.membership;

/**
 * The time that control instances are given to respond to a report, in milliseconds. It
 * grows when responses take long, since overloaded instances must not get more work
 * because they are slow. One instance that is silent is no sign of overload; if the next
 * ones, to which connections are opened anew, are silent too, that may be one. A maximum
 * that follows from the time to apply changes bounds the timeout in all cases, because a
 * gateway applies its former rules, and uses upstreams that left, while it waits. Not
 * thread-safe.
 */
final class ResponseTimeout {

	private final long minimumMillis;

	private final long maximumMillis;

	// Halves with each response that takes less.
	private long slowestResponseMillis;

	// Whether an instance was left and none has responded since.
	private boolean unanswered;

	/**
	 * Creates a timeout without responses.
	 * @param applyMillis the time after its acknowledgement within which a change must be
	 * in force everywhere, in milliseconds
	 * @param reportIntervalMillis the time between two reports, in milliseconds
	 */
	ResponseTimeout(long applyMillis, long reportIntervalMillis) {
		this.minimumMillis = Math.min(2 * reportIntervalMillis, Math.max(reportIntervalMillis, applyMillis / 2));
		// A silence is noticed after one more interval at most, so that the gateway has
		// left the instance when the time to apply changes has passed.
		this.maximumMillis = Math.max(this.minimumMillis, applyMillis - reportIntervalMillis);
	}

	long millis() {
		return this.unanswered ? this.maximumMillis
				: Math.min(this.maximumMillis, Math.max(this.minimumMillis, 2 * this.slowestResponseMillis));
	}

	void recordSilence() {
		this.unanswered = true;
	}

	void recordResponse(long responseMillis) {
		this.unanswered = false;
		this.slowestResponseMillis = Math.max(responseMillis, this.slowestResponseMillis / 2);
	}

}
