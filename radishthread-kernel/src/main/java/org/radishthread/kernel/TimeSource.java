package org.radishthread.kernel;

/**
 * Tells the time. State machines are given the time by their caller instead.
 */
public interface TimeSource {

	/**
	 * Returns a time that never goes back.
	 * @return nanoseconds since an arbitrary origin
	 */
	long monotonicNanos();

	/**
	 * Returns the calendar time.
	 * @return milliseconds since 1970-01-01T00:00Z
	 */
	long wallClockMillis();

	/**
	 * Returns a time that never goes back.
	 * @return milliseconds since an arbitrary origin
	 */
	default long monotonicMillis() {
		return monotonicNanos() / 1_000_000;
	}

}
