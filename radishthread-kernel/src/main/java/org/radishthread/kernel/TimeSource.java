package org.radishthread.kernel;

/**
 * Provides the current time. State machines do not use it: the time is passed to their
 * methods, so that tests control it.
 */
public interface TimeSource {

	/**
	 * Returns a monotonic time, for measuring durations.
	 * @return nanoseconds since an arbitrary origin
	 */
	long monotonicNanos();

	/**
	 * Returns the time of day, which can jump when the clock is adjusted.
	 * @return milliseconds since 1970-01-01T00:00Z
	 */
	long wallClockMillis();

	/**
	 * Returns a monotonic time, for measuring durations.
	 * @return milliseconds since an arbitrary origin
	 */
	default long monotonicMillis() {
		return monotonicNanos() / 1_000_000;
	}

}
