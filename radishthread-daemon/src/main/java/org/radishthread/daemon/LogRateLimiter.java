package org.radishthread.daemon;

/**
 * Bounds the log lines of a second and counts those that are dropped. It is safe for use
 * by several threads.
 */
final class LogRateLimiter {

	private static final long SECOND_MILLIS = 1_000;

	private final int linesPerSecond;

	private long second = Long.MIN_VALUE;

	private int written;

	private long dropped;

	LogRateLimiter(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Takes one line from the budget.
	 * @param nowMillis the time of the line, in milliseconds; times of day that jump
	 * backward begin a new second, too
	 * @return whether the line may be written
	 */
	synchronized boolean tryTake(long nowMillis) {
		long current = nowMillis / SECOND_MILLIS;
		if (current != this.second) {
			this.second = current;
			this.written = 0;
		}
		if (this.written >= this.linesPerSecond) {
			this.dropped++;
			return false;
		}
		this.written++;
		return true;
	}

	/**
	 * Returns the lines dropped since the last call.
	 * @return the count
	 */
	synchronized long takeDropped() {
		long taken = this.dropped;
		this.dropped = 0;
		return taken;
	}

}
