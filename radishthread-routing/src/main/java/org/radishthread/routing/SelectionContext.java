package org.radishthread.routing;

/**
 * The inputs to the choice of an upstream other than the candidates themselves.
 *
 * @param zone the availability zone of the instance that received the request
 * @param medianLatencyNanos the median of the mean latencies of the upstreams, in
 * nanoseconds, or zero while unknown
 * @param expectedWaitNanos the expected time until the request gets another slot, in
 * nanoseconds
 * @param defaultServiceNanos the service time assumed for upstreams without enough
 * samples, in nanoseconds
 * @param contention the estimate of the slowdown by contention at upstreams
 * @param overrunUse whether attempts that were cancelled count against upstreams
 * @param mayRepeat whether the request may be sent to a second upstream
 * @param nowNanos the monotonic time, in nanoseconds
 */
record SelectionContext(String zone, double medianLatencyNanos, double expectedWaitNanos, double defaultServiceNanos,
		ContentionEstimate contention, OverrunUse overrunUse, boolean mayRepeat, long nowNanos) {

	// An upstream is a straggler if its expected duration exceeds this multiple
	// of the median latency of all upstreams.
	private static final double STRAGGLER_FACTOR = 3;

	boolean isStraggler(UpstreamTracker tracker) {
		return isStraggler(tracker, expectedDurationNanos(tracker));
	}

	boolean isStraggler(UpstreamTracker tracker, double durationNanos) {
		return tracker.isLatencyKnown() && this.medianLatencyNanos > 0
				&& durationNanos > STRAGGLER_FACTOR * this.medianLatencyNanos;
	}

	double expectedDurationNanos(UpstreamTracker tracker) {
		return tracker.expectedDurationNanos(this.defaultServiceNanos, this.contention, this.overrunUse, this.nowNanos);
	}

	/**
	 * Whether the time of attempts that were cancelled without a response counts against
	 * an upstream, in the order in which the uses are tried.
	 */
	enum OverrunUse {

		/**
		 * It counts: another upstream is expected to respond in time.
		 */
		COUNTED {

			@Override
			double nanos(OverrunEstimate overrun, long nowNanos) {
				return overrun.overrunNanos(nowNanos);
			}

		},

		/**
		 * It does not count: it would rule out all upstreams of the service, which is the
		 * effect of connections that have gone silent rather than of slow upstreams.
		 */
		IGNORED {

			@Override
			double nanos(OverrunEstimate overrun, long nowNanos) {
				return 0;
			}

		};

		abstract double nanos(OverrunEstimate overrun, long nowNanos);

	}

}
