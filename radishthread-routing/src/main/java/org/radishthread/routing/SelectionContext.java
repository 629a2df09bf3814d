package org.radishthread.routing;

/**
 * What bears on the choice of an upstream besides the upstreams with a free slot.
 *
 * @param zone the availability zone of this instance
 * @param medianLatencyNanos the median of the upstreams' mean latencies, or zero while
 * unknown
 * @param expectedWaitNanos how long the request would wait for another slot, in
 * nanoseconds
 * @param mayRepeat whether a slow attempt can be hedged
 * @param nowNanos the monotonic time, in nanoseconds
 */
record SelectionContext(String zone, double medianLatencyNanos, double expectedWaitNanos, boolean mayRepeat,
		long nowNanos) {
}
