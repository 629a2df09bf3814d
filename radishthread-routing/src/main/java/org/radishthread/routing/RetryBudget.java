package org.radishthread.routing;

/**
 * Limits retries and hedges to a percentage of the requests, so that they cannot multiply
 * the load of a failing service. Not safe for concurrent use.
 */
public final class RetryBudget {

	// Together with the tokens that ten seconds add, this keeps retries and
	// hedges in ten seconds below the percentage of the requests plus 50.
	private static final double MAXIMUM_TOKENS = 14;

	private static final double INITIAL_TOKENS = 6;

	private static final double TOKENS_RESERVED_FOR_RETRIES = 3;

	// Allows some retries for a service with few requests.
	private static final double TOKENS_PER_SECOND = 3;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private double tokens = INITIAL_TOKENS;

	private long lastRefillNanos = Long.MIN_VALUE;

	/**
	 * Adds the tokens that a new request contributes to the budget.
	 * @param retryPercent the retries and hedges allowed per hundred requests
	 */
	public void recordRequest(int retryPercent) {
		this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + retryPercent / 100.0);
	}

	private void refill(long nowNanos) {
		if (this.lastRefillNanos != Long.MIN_VALUE) {
			double addedTokens = TOKENS_PER_SECOND * (nowNanos - this.lastRefillNanos) / NANOS_PER_SECOND;
			this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + addedTokens);
		}
		this.lastRefillNanos = nowNanos;
	}

	/**
	 * Takes one retry or hedge from the budget, if available.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean tryAcquire(long nowNanos) {
		refill(nowNanos);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Takes one hedge from the budget if that leaves the reserve for retries.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean tryAcquireForHedge(long nowNanos) {
		refill(nowNanos);
		return this.tokens >= 1 + TOKENS_RESERVED_FOR_RETRIES && tryAcquire(nowNanos);
	}

}
