package org.radishthread.routing;

import java.time.Duration;

/**
 * Until when an upstream is cold, as it announced and as it reported with responses. The
 * time that it states is counted from its receipt, so that a message that was delayed
 * never shortens the period. Points in time are monotonic, in nanoseconds. Not safe for
 * concurrent use.
 */
final class ColdPeriod {

	// Half of the minimum, so that differences of times do not overflow.
	private static final long NEVER = Long.MIN_VALUE / 2;

	private long incarnation = -1;

	private long sequence = -1;

	private long announcedUntilNanos = NEVER;

	private long reportedUntilNanos = NEVER;

	// An announcement replaces the former one, but not what a response stated: it may
	// have been sent before that.
	void recordAnnouncement(Upstream upstream, long nowNanos) {
		if (upstream.incarnation() == this.incarnation && upstream.sequence() == this.sequence) {
			return;
		}
		if (this.incarnation >= 0 && upstream.incarnation() > this.incarnation) {
			this.reportedUntilNanos = NEVER;
		}
		this.incarnation = upstream.incarnation();
		this.sequence = upstream.sequence();
		this.announcedUntilNanos = (upstream.coldMillis() > 0)
				? nowNanos + Duration.ofMillis(upstream.coldMillis()).toNanos() : NEVER;
	}

	void recordReport(LoadReport report, long nowNanos) {
		if (report.coldMillis() > 0) {
			this.reportedUntilNanos = Math.max(this.reportedUntilNanos,
					nowNanos + Duration.ofMillis(report.coldMillis()).toNanos());
		}
	}

	boolean isCold(long nowNanos) {
		return nowNanos < endNanos();
	}

	// The remaining time, or zero if the upstream is not cold.
	long remainingMillis(long nowNanos) {
		return isCold(nowNanos) ? Math.max(1, Duration.ofNanos(endNanos() - nowNanos).toMillis()) : 0;
	}

	long endNanos() {
		return Math.max(this.announcedUntilNanos, this.reportedUntilNanos);
	}

}
