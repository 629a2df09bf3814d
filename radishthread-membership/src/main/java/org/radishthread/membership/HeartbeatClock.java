package org.radishthread.membership;

/**
 * Estimates when the heartbeats of another instance were made, by the local clock. A
 * heartbeat advances with the clock of its instance, so that the difference of two
 * heartbeats is the time between them, however long each was on its way. The one that
 * took the shortest time sets the estimate, which is thus never too early. Not
 * thread-safe; times are monotonic, in milliseconds.
 */
final class HeartbeatClock {

	// Added for each heartbeat, because clocks do not run at exactly the same rate.
	private static final long DRIFT_MILLIS = 1;

	// A heartbeat that seems to have taken longer shows that the clock of its instance
	// stood still, or that the instance counts heartbeats, as earlier versions do.
	private static final long MAXIMUM_DELAY_MILLIS = 4_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long heartbeat;

	private long madeMillis = NEVER;

	/**
	 * Returns when a heartbeat was made.
	 * @param newHeartbeat the heartbeat, which is higher than all before
	 * @param arrivedMillis when it arrived
	 * @return when it was made, no later than it arrived
	 */
	long record(long newHeartbeat, long arrivedMillis) {
		long expectedMillis = this.madeMillis + (newHeartbeat - this.heartbeat) + DRIFT_MILLIS;
		boolean plausible = this.madeMillis != NEVER && arrivedMillis - expectedMillis <= MAXIMUM_DELAY_MILLIS;
		this.madeMillis = plausible ? Math.min(arrivedMillis, expectedMillis) : arrivedMillis;
		this.heartbeat = newHeartbeat;
		return this.madeMillis;
	}

}
