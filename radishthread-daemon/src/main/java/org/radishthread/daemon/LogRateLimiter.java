package org.radishthread.daemon;

/**
 * Limits the number of log lines per second and counts the lines that are dropped. It is
 * safe for use by several threads.
 */
final class LogRateLimiter {

	private static final long MILLIS_PER_SECOND = 1_000;

	private final int linesPerSecond;

	private long currentSecond = Long.MIN_VALUE;

	private int linesInCurrentSecond;

	private long droppedLines;

	LogRateLimiter(int linesPerSecond) {
		this.linesPerSecond = linesPerSecond;
	}

	/**
	 * Checks whether a line may be written, and counts it as written or as dropped.
	 * @param nowMillis the time of day of the line, in milliseconds; a jump backward
	 * starts a new second as well
	 * @return whether the line may be written
	 */
	synchronized boolean tryAcquire(long nowMillis) {
		long second = nowMillis / MILLIS_PER_SECOND;
		if (second != this.currentSecond) {
			this.currentSecond = second;
			this.linesInCurrentSecond = 0;
		}
		if (this.linesInCurrentSecond >= this.linesPerSecond) {
			this.droppedLines++;
			return false;
		}
		this.linesInCurrentSecond++;
		return true;
	}

	/**
	 * Returns the number of lines dropped since the last call.
	 * @return the number of lines
	 */
	synchronized long getAndResetDropped() {
		long count = this.droppedLines;
		this.droppedLines = 0;
		return count;
	}

}
