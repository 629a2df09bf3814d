package org.radishthread.routing;

/**
 * Allows retries and hedges in proportion to requests, so that they can not multiply the
 * load of a service that fails. It is not safe for use by several threads at once.
 */
public final class RetryBudget {

	// With the allowance of ten seconds this stays below 50 beyond the proportion.
	private static final double MAXIMUM_TOKENS = 14;

	private static final double INITIAL_TOKENS = 6;

	private static final double RESERVED_FOR_RETRIES = 3;

	// A service that is asked rarely gets some retries all the same.
	private static final double TOKENS_PER_SECOND = 3;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private double tokens = INITIAL_TOKENS;

	private long refilledNanos = Long.MIN_VALUE;

	/**
	 * Learns of a new request.
	 * @param retryPercent the retries and hedges allowed per hundred requests
	 */
	public void recordRequest(int retryPercent) {
		this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + retryPercent / 100.0);
	}

	private void refill(long now) {
		if (this.refilledNanos != Long.MIN_VALUE) {
			double added = TOKENS_PER_SECOND * (now - this.refilledNanos) / NANOS_PER_SECOND;
			this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + added);
		}
		this.refilledNanos = now;
	}

	/**
	 * Takes one retry or hedge from the budget.
	 * @param now the monotonic time, in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean tryAcquire(long now) {
		refill(now);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Takes one hedge from the budget, but leaves a reserve for retries.
	 * @param now the monotonic time, in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean tryAcquireForHedge(long now) {
		refill(now);
		return this.tokens >= 1 + RESERVED_FOR_RETRIES && tryAcquire(now);
	}

}
