package org.radishthread.routing;

/**
 * Allows retries and hedges in proportion to successes, so that they can not multiply the
 * load of a service that fails. It is not safe for use by several threads at once.
 */
public final class RetryBudget {

	private static final double MAXIMUM_TOKENS = 20;

	private static final double INITIAL_TOKENS = 3;

	private static final double RESERVED_FOR_RETRIES = 4;

	private double tokens = INITIAL_TOKENS;

	/**
	 * Learns of a success.
	 * @param retryPercent the retries and hedges allowed per hundred successes
	 */
	public void recordSuccess(int retryPercent) {
		this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + retryPercent / 100.0);
	}

	/**
	 * Takes one retry or hedge from the budget.
	 * @return whether it may be sent
	 */
	public boolean tryTake() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Takes one hedge from the budget, but leaves a reserve for retries.
	 * @return whether it may be sent
	 */
	public boolean tryTakeForHedge() {
		return this.tokens >= 1 + RESERVED_FOR_RETRIES && tryTake();
	}

}
