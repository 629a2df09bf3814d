package org.radishthread.routing;

/**
 * Limits retries and hedges to {@link RetryLimits}, so that they cannot multiply the load
 * of a failing service. Only the home of the service draws on the slack; an instance that
 * routes without the home, or in its place, is limited to the ratio of its own requests.
 * The shares of the slack add up to three quarters of it if the home changes within a
 * window; the rest covers the one token that each of the other instances may hold. Not
 * safe for concurrent use.
 */
public final class RetryBudget {

	private static final double MAXIMUM_TOKENS_SHARE = 0.25;

	private static final double REFILL_SHARE = 0.4;

	private static final double INITIAL_TOKENS_SHARE = 0.1;

	private static final double RESERVED_SHARE = 0.05;

	// The platform may count a request in a window before the one of its retry.
	private static final double RATIO_SHARE = 0.9;

	// The time after its last request for which an instance counts as home.
	private static final long HOME_PERIOD_NANOS = 1_000_000_000;

	private final RetryLimits limits;

	private double tokens;

	private boolean initialized;

	private long lastRefillNanos = Long.MIN_VALUE;

	private long homeUntilNanos = Long.MIN_VALUE;

	public RetryBudget(RetryLimits limits) {
		this.limits = limits;
	}

	private double maximumTokens() {
		return Math.max(1, this.limits.slack() * MAXIMUM_TOKENS_SHARE);
	}

	/**
	 * Adds the tokens that a new request contributes to the budget.
	 * @param retryPercent the retries and hedges allowed per hundred requests by the
	 * rules
	 * @param home whether this instance routes the request as the home of the service
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public void recordRequest(int retryPercent, boolean home, long nowNanos) {
		refill(nowNanos);
		if (home) {
			this.homeUntilNanos = nowNanos + HOME_PERIOD_NANOS;
			if (!this.initialized) {
				this.initialized = true;
				add(this.limits.slack() * INITIAL_TOKENS_SHARE);
			}
		}
		add(contribution(retryPercent));
	}

	private double contribution(int retryPercent) {
		return Math.min(retryPercent / 100.0, this.limits.ratio() * RATIO_SHARE);
	}

	/**
	 * Takes back the tokens that a request has contributed. The budget may fall below
	 * zero, if they were used already.
	 * @param retryPercent the retries and hedges allowed per hundred requests by the
	 * rules
	 */
	public void withdrawRequest(int retryPercent) {
		this.tokens -= contribution(retryPercent);
	}

	private void add(double addedTokens) {
		this.tokens = Math.min(maximumTokens(), this.tokens + addedTokens);
	}

	// The tokens of the time in which this instance was the home.
	private void refill(long nowNanos) {
		if (this.lastRefillNanos != Long.MIN_VALUE && this.homeUntilNanos != Long.MIN_VALUE) {
			double homeNanos = Math.max(0, Math.min(nowNanos, this.homeUntilNanos) - this.lastRefillNanos);
			add(this.limits.slack() * REFILL_SHARE * homeNanos / this.limits.windowNanos());
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
	 * Returns a retry or hedge that reached no upstream to the budget.
	 */
	public void release() {
		add(1);
	}

	/**
	 * Takes one hedge from the budget if that leaves the reserve for retries.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean tryAcquireForHedge(long nowNanos) {
		refill(nowNanos);
		return this.tokens >= 1 + this.limits.slack() * RESERVED_SHARE && tryAcquire(nowNanos);
	}

}
