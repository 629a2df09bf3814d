package org.radishthread.daemon.gateway;

import org.radishthread.routing.RetryBudget;

/**
 * Lets many threads use one {@link RetryBudget} for second attempts at the home of a
 * service.
 */
final class GuardedBudget {

	private static final int SECOND_ATTEMPTS_PERCENT = 10;

	private final RetryBudget budget = new RetryBudget();

	synchronized void recordSuccess() {
		this.budget.recordSuccess(SECOND_ATTEMPTS_PERCENT);
	}

	synchronized boolean tryTake() {
		return this.budget.tryTake();
	}

}
