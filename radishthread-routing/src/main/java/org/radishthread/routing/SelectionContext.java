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
 * @param mayRepeat whether the request may be sent to a second upstream
 * @param nowNanos the monotonic time, in nanoseconds
 */
record SelectionContext(String zone, double medianLatencyNanos, double expectedWaitNanos, double defaultServiceNanos,
		ContentionEstimate contention, boolean mayRepeat, long nowNanos) {

	double expectedDurationNanos(UpstreamTracker tracker) {
		return tracker.expectedDurationNanos(this.defaultServiceNanos, this.contention, this.nowNanos);
	}

}
