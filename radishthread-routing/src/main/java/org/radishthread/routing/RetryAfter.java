package org.radishthread.routing;

/**
 * Says when callers that were refused should come back: at different moments, and soon
 * enough to be served still.
 */
public final class RetryAfter {

	private static final long LEAST_MILLIS = 100;

	// Callers come back only if it is within a third of the time that they have left.
	private static final double RETURN_SHARE = 3.2;

	// Multiples of the golden ratio are spread evenly over the unit interval.
	private static final double SPREADING_RATIO = (Math.sqrt(5) - 1) / 2;

	private RetryAfter() {
	}

	/**
	 * Returns when a caller should come back.
	 * @param wantedMillis when it would be served at the earliest, in milliseconds; the
	 * result is spread around it
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @param number a number of the request; successive numbers are spread evenly
	 * @return the time to wait, in milliseconds
	 */
	public static long delayMillis(long wantedMillis, long remainingMillis, long number) {
		double position = number * SPREADING_RATIO;
		double spread = 0.5 + (position - Math.floor(position));
		long wanted = (long) (Math.max(LEAST_MILLIS, wantedMillis) * spread);
		return Math.max(LEAST_MILLIS / 2, Math.min(wanted, (long) (remainingMillis / RETURN_SHARE)));
	}

}
