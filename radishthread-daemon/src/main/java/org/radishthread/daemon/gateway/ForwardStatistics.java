package org.radishthread.daemon.gateway;

import org.radishthread.routing.RetryBudget;

/**
 * What this instance learned from the requests of one service that it sent to its home.
 */
final class ForwardStatistics {

	private static final int SECOND_ATTEMPTS_PERCENT = 10;

	private static final long MINIMUM_SILENCE_MILLIS = 250;

	private static final double SILENCE_LATENCY_FACTOR = 5;

	private static final double LATENCY_WEIGHT = 0.05;

	private final RetryBudget budget = new RetryBudget();

	private double latencyMillis;

	synchronized void answered(long elapsedNanos) {
		this.budget.recordSuccess(SECOND_ATTEMPTS_PERCENT);
		this.latencyMillis += LATENCY_WEIGHT * (elapsedNanos / 1e6 - this.latencyMillis);
	}

	synchronized boolean trySecondAttempt() {
		return this.budget.tryTake();
	}

	// The time without an answer after which the home, not the service, is the likely
	// cause.
	synchronized long silenceMillis() {
		return Math.max(MINIMUM_SILENCE_MILLIS, (long) (SILENCE_LATENCY_FACTOR * this.latencyMillis));
	}

}
