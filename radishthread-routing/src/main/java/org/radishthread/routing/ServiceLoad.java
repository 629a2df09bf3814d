package org.radishthread.routing;

/**
 * The slots of a service and their use, as its router sees them at one moment.
 *
 * @param upstreams the number of upstreams that can be used
 * @param slots the number of their slots
 * @param inFlight the number of attempts in flight, at all upstreams
 * @param queued the number of queued requests
 * @param oldestAttemptMillis the time since the start of the oldest attempt in flight, in
 * milliseconds, or zero without one
 * @param overrunUpstreams the number of usable upstreams that are expected to take more
 * than twice their usual time because attempts were cancelled
 */
public record ServiceLoad(int upstreams, long slots, int inFlight, int queued, long oldestAttemptMillis,
		int overrunUpstreams) {
}
