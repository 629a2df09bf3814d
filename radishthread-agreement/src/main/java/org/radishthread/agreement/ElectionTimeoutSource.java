package org.radishthread.agreement;

/**
 * Supplies the random part of election timeouts.
 */
@FunctionalInterface
public interface ElectionTimeoutSource {

	/**
	 * Returns the next timeout.
	 * @param minimumMillis the least timeout, in milliseconds
	 * @return a timeout from the minimum to twice the minimum, in milliseconds
	 */
	long nextMillis(long minimumMillis);

}
