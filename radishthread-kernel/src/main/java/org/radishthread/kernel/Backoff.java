package org.radishthread.kernel;

/**
 * Intervals between repeated attempts: each is twice as long as the one before, up to a
 * maximum, so that attempts that do not succeed add little load. Not safe for concurrent
 * use.
 */
public final class Backoff {

	private final long minimumMillis;

	private final long maximumMillis;

	private long nextMillis;

	/**
	 * Creates a backoff.
	 * @param minimumMillis the first interval, in milliseconds
	 * @param maximumMillis the longest interval, in milliseconds
	 */
	public Backoff(long minimumMillis, long maximumMillis) {
		Assert.isTrue(minimumMillis > 0, "Interval " + minimumMillis + " ms must be positive.");
		Assert.isTrue(maximumMillis >= minimumMillis,
				"Interval " + maximumMillis + " ms must be at least " + minimumMillis + " ms.");
		this.minimumMillis = minimumMillis;
		this.maximumMillis = maximumMillis;
		this.nextMillis = minimumMillis;
	}

	/**
	 * Returns the interval until the next attempt and doubles the one after it.
	 * @return the interval, in milliseconds
	 */
	public long nextMillis() {
		long currentMillis = this.nextMillis;
		this.nextMillis = Math.min(this.maximumMillis, currentMillis * 2);
		return currentMillis;
	}

	/**
	 * Starts again with the first interval, after an attempt that succeeded.
	 */
	public void reset() {
		this.nextMillis = this.minimumMillis;
	}

}
