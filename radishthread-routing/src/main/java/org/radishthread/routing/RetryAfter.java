package org.radishthread.routing;

/**
 * Computes the delay after which a refused caller should try again. Delays are spread, so
 * that callers refused together do not return together, and bounded, so that the request
 * can still be served before its deadline.
 */
public final class RetryAfter {

	private static final long MINIMUM_MEAN_DELAY_MILLIS = 100;

	// Callers retry only if the delay is within a third of their remaining time;
	// the divisor leaves a small margin.
	private static final double REMAINING_TIME_DIVISOR = 3.2;

	// The fractional parts of its multiples are spread evenly over
	// the unit interval.
	private static final double GOLDEN_RATIO_FRACTION = (Math.sqrt(5) - 1) / 2;

	private RetryAfter() {
	}

	/**
	 * Returns the delay after which a caller should try again.
	 * @param expectedWaitMillis the time after which the request could be served, in
	 * milliseconds; the delay is between half of it and one and a half times of it,
	 * unless that is too long or too short
	 * @param remainingMillis the time until the deadline of the request, in milliseconds
	 * @param sequenceNumber the number of the request; the delays of consecutive numbers
	 * are spread evenly
	 * @return the delay, in milliseconds
	 */
	public static long delayMillis(long expectedWaitMillis, long remainingMillis, long sequenceNumber) {
		double sequencePosition = sequenceNumber * GOLDEN_RATIO_FRACTION;
		double spreadFactor = 0.5 + (sequencePosition - Math.floor(sequencePosition));
		long delayMillis = (long) (Math.max(MINIMUM_MEAN_DELAY_MILLIS, expectedWaitMillis) * spreadFactor);
		return Math.max(MINIMUM_MEAN_DELAY_MILLIS / 2,
				Math.min(delayMillis, (long) (remainingMillis / REMAINING_TIME_DIVISOR)));
	}

}
