package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Holds the requests that arrive while an instance starts, until it can serve them. After
 * a restart of all instances, a refused caller would only reach another instance that
 * starts. A request is released while its caller still has time to be served elsewhere.
 * Points in time are monotonic, in milliseconds. Not thread-safe.
 *
 * @param <T> the type of a request
 */
final class StartupBacklog<T> {

	// A caller comes back within a third of the time that is left, and may have to be
	// held once more. The timeout of the route, which is not known yet, also counts.
	private static final double MAXIMUM_HELD_SHARE = 1.0 / 3;

	// For a request that does not state how long its caller waits.
	private static final long DEFAULT_HOLD_MILLIS = 1_000;

	private final int maximumRequests;

	private final List<HeldRequest<T>> requests = new ArrayList<>();

	/**
	 * Creates a backlog.
	 * @param maximumRequests the maximum number of requests, or zero to hold none
	 */
	StartupBacklog(int maximumRequests) {
		this.maximumRequests = maximumRequests;
	}

	/**
	 * Holds a request if there is room.
	 * @param request the request
	 * @param remainingMillis how long its caller still waits, in milliseconds, or empty
	 * if unknown
	 * @param nowMillis the current time
	 * @return whether the request is held
	 */
	boolean tryHold(T request, OptionalLong remainingMillis, long nowMillis) {
		if (this.requests.size() >= this.maximumRequests) {
			return false;
		}
		long holdMillis = remainingMillis.isPresent() ? (long) (remainingMillis.getAsLong() * MAXIMUM_HELD_SHARE)
				: DEFAULT_HOLD_MILLIS;
		this.requests.add(new HeldRequest<>(request, nowMillis + holdMillis));
		return true;
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	/**
	 * Removes the requests that can be held no longer.
	 * @param nowMillis the current time
	 * @return the requests, in the order of their arrival
	 */
	List<T> takeExpired(long nowMillis) {
		List<T> expiredRequests = this.requests.stream()
			.filter((held) -> held.expiryMillis() <= nowMillis)
			.map(HeldRequest::request)
			.toList();
		this.requests.removeIf((held) -> held.expiryMillis() <= nowMillis);
		return expiredRequests;
	}

	/**
	 * Removes all requests.
	 * @return the requests, in the order of their arrival
	 */
	List<T> takeAll() {
		List<T> allRequests = this.requests.stream().map(HeldRequest::request).toList();
		this.requests.clear();
		return allRequests;
	}

	private record HeldRequest<T>(T request, long expiryMillis) {
	}

}
