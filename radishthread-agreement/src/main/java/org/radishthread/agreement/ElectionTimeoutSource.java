package org.radishthread.agreement;

/**
 * Supplies randomized election timeouts.
 */
@FunctionalInterface
public interface ElectionTimeoutSource {

	/**
	 * Returns the next timeout.
	 * @param minimumMillis the minimum timeout, in milliseconds
	 * @return a timeout between the minimum and twice the minimum, in milliseconds
	 */
	long nextMillis(long minimumMillis);

}
