package org.radishthread.routing;

/**
 * What bears on the choice of an upstream besides the upstreams with a free slot.
 *
 * @param zone the availability zone of the instance that holds the request
 * @param medianLatencyNanos the median of the upstreams' mean latencies, or zero while
 * unknown
 * @param expectedWaitNanos how long the request would wait for another slot, in
 * nanoseconds
 * @param usualNanos the time that an attempt takes at an upstream of which nothing is
 * known, in nanoseconds
 * @param crowding what nearly full upstreams cost
 * @param mayRepeat whether a slow attempt can be hedged
 * @param nowNanos the monotonic time, in nanoseconds
 */
record SelectionContext(String zone, double medianLatencyNanos, double expectedWaitNanos, double usualNanos,
		ContentionEstimate crowding, boolean mayRepeat, long nowNanos) {

	double expectedNanos(UpstreamTracker load) {
		return load.expectedNanos(this.usualNanos, this.crowding, this.nowNanos);
	}

}
