package org.radishthread.routing;

/**
 * The limit on the requests to one upstream while it is cold, kept by the one instance
 * that grants its slots. Requests are spaced evenly at the rate that the upstream
 * tolerates, so that each second holds at most that many, rounded up. The first request
 * waits for a whole interval too, so that an instance that takes the counting over adds
 * no burst to that of the former one. Points in time are monotonic, in nanoseconds. Not
 * safe for concurrent use.
 */
final class ColdStartLimit {

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	private final ColdPeriod period = new ColdPeriod();

	// The time between two requests, or zero if the service has no limit.
	private double intervalNanos;

	private boolean active;

	private double nextNanos;

	/**
	 * Sets the rate of the service.
	 * @param requestsPerSecond the requests per second that a cold upstream tolerates, or
	 * zero for no limit
	 * @param limits how far a second may exceed the rate
	 */
	void setRate(double requestsPerSecond, ColdStartLimits limits) {
		double maximumPerSecond = Math.floor(requestsPerSecond * limits.overage() + limits.slack());
		boolean roundedDown = Math.ceil(requestsPerSecond) > maximumPerSecond && maximumPerSecond >= 1;
		double perSecond = roundedDown ? maximumPerSecond : requestsPerSecond;
		this.intervalNanos = (perSecond > 0) ? NANOS_PER_SECOND / perSecond : 0;
	}

	// Whether the service has a rate for cold upstreams.
	boolean isConfigured() {
		return this.intervalNanos > 0;
	}

	// Returns whether the upstream has become cold.
	boolean recordAnnouncement(Upstream upstream, long nowNanos) {
		this.period.recordAnnouncement(upstream, nowNanos);
		return update(nowNanos);
	}

	// Returns whether the upstream has become cold.
	boolean recordReport(LoadReport report, long nowNanos) {
		this.period.recordReport(report, nowNanos);
		return update(nowNanos);
	}

	private boolean update(long nowNanos) {
		boolean begins = isActive(nowNanos) && !this.active;
		if (begins) {
			restart(nowNanos);
		}
		this.active = isActive(nowNanos);
		return begins;
	}

	// Starts counting anew, because another instance may have granted until now.
	void restart(long nowNanos) {
		this.nextNanos = nowNanos + this.intervalNanos;
	}

	boolean isActive(long nowNanos) {
		return isConfigured() && this.period.isCold(nowNanos);
	}

	long remainingMillis(long nowNanos) {
		return this.period.remainingMillis(nowNanos);
	}

	boolean allows(long nowNanos) {
		return !isActive(nowNanos) || nowNanos >= this.nextNanos;
	}

	void recordDispatch(long nowNanos) {
		if (isActive(nowNanos)) {
			this.nextNanos = nowNanos + this.intervalNanos;
		}
	}

	// The earliest time at which the number of further requests has been allowed. The
	// limit ends with the cold period.
	long allowedAtNanos(int requests, long nowNanos) {
		if (!isActive(nowNanos)) {
			return nowNanos;
		}
		double allowedNanos = Math.max(nowNanos, this.nextNanos) + (requests - 1) * this.intervalNanos;
		return Math.min((long) Math.ceil(allowedNanos), this.period.endNanos());
	}

}
