package org.radishthread.routing;

/**
 * The rate limit that an upstream has named, kept by the one instance that grants its
 * slots: a token bucket. It starts empty, so that an instance that takes the counting
 * over adds no burst to that of the former one. Points in time are monotonic, in
 * nanoseconds. Not safe for concurrent use.
 */
final class UpstreamRateLimit {

	// Lets requests that wait while others are served start together.
	private static final double MAXIMUM_TOKENS = 2;

	// An upstream whose limit is zero is still sent a request at times, since only a
	// response can end the limit.
	private static final double MINIMUM_PER_SECOND = 0.2;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private double perSecond = LoadReport.UNLIMITED;

	private double tokens;

	private long updatedNanos;

	boolean isActive() {
		return this.perSecond != LoadReport.UNLIMITED;
	}

	void set(double requestsPerSecond, long nowNanos) {
		refill(nowNanos);
		this.perSecond = Math.max(MINIMUM_PER_SECOND, requestsPerSecond);
	}

	void clear() {
		this.perSecond = LoadReport.UNLIMITED;
	}

	boolean allows(long nowNanos) {
		return !isActive() || availableTokens(nowNanos) >= 1;
	}

	void recordDispatch(long nowNanos) {
		if (isActive()) {
			refill(nowNanos);
			this.tokens--;
		}
	}

	// The earliest time at which the number of further requests has been allowed.
	long allowedAtNanos(int requests, long nowNanos) {
		double missingTokens = requests - availableTokens(nowNanos);
		return (missingTokens <= 0 || !isActive()) ? nowNanos
				: nowNanos + (long) Math.ceil(missingTokens / this.perSecond * NANOS_PER_SECOND);
	}

	private void refill(long nowNanos) {
		this.tokens = isActive() ? availableTokens(nowNanos) : 0;
		this.updatedNanos = nowNanos;
	}

	private double availableTokens(long nowNanos) {
		double elapsedSeconds = (nowNanos - this.updatedNanos) / NANOS_PER_SECOND;
		return Math.min(MAXIMUM_TOKENS, this.tokens + elapsedSeconds * this.perSecond);
	}

}
