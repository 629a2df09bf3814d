package org.radishthread.membership;

/**
 * Decides when a gateway requests the upstream records that it lacks, from the digests in
 * the messages of control instances. Control instances send changes to the gateways that
 * report to them, so that a difference is usually over before the records would have been
 * requested; only a difference that lasts shows that a change was missed. A gateway that
 * has left a control instance has missed the changes that the next ones sent before, and
 * requests them at the first difference. Not thread-safe; times are monotonic, in
 * milliseconds.
 */
final class UpstreamComparison {

	// Updates sent to gateways are received before a difference lasts this long.
	private static final long UPDATE_DELAY_MILLIS = 700;

	private static final long NEVER = Long.MAX_VALUE;

	private long differSinceMillis = NEVER;

	// Whether changes may have been missed since the upstreams were last known to be the
	// same as those of a control instance.
	private boolean updatesMissed;

	void recordMissedUpdates() {
		this.updatesMissed = true;
	}

	// Processes the digest of a control instance, and returns whether the records are to
	// be requested from it. An instance that is not current may lack the same records.
	boolean recordDigest(boolean equal, boolean current, long nowMillis) {
		if (equal) {
			this.differSinceMillis = current ? NEVER : this.differSinceMillis;
			this.updatesMissed &= !current;
			return false;
		}
		this.differSinceMillis = Math.min(this.differSinceMillis, nowMillis);
		if (!this.updatesMissed && nowMillis - this.differSinceMillis < UPDATE_DELAY_MILLIS) {
			return false;
		}
		this.updatesMissed = false;
		this.differSinceMillis = nowMillis;
		return true;
	}

}
