package org.radishthread.routing;

/**
 * Limits the pace probes that this instance sends for one service to a rate, because they
 * share its processor and its link with requests. Not safe for concurrent use.
 */
final class PaceProbeBudget {

	// Spreads the probes over time, so that they do not occupy a narrow link for long.
	private static final double MAXIMUM_BURST = 4;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final double probesPerSecond;

	private double tokens = MAXIMUM_BURST;

	private long lastRefillNanos = Long.MIN_VALUE;

	PaceProbeBudget(double probesPerSecond) {
		this.probesPerSecond = probesPerSecond;
	}

	// The shortest interval at which each of the upstreams can be probed.
	long intervalNanos(int upstreamCount) {
		return (long) (upstreamCount * NANOS_PER_SECOND / this.probesPerSecond);
	}

	boolean tryAcquire(long nowNanos) {
		if (this.lastRefillNanos != Long.MIN_VALUE) {
			double addedTokens = this.probesPerSecond * (nowNanos - this.lastRefillNanos) / NANOS_PER_SECOND;
			this.tokens = Math.min(Math.max(MAXIMUM_BURST, addedTokens), this.tokens + addedTokens);
		}
		this.lastRefillNanos = nowNanos;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
