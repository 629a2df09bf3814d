package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.CallerQueues.QueuedRequest;

/**
 * Holds the suspected requests that wait to run alone on an upstream. Of equal requests,
 * only one waits or runs at a time; only one upstream is kept free for them at a time,
 * and few requests wait, so that the other requests of the service keep their upstreams.
 * Not safe for concurrent use.
 */
final class TrialQueue {

	private static final int MAXIMUM_WAITING = 8;

	private final Deque<QueuedRequest> waiting = new ArrayDeque<>();

	// What the requests that wait or run have in common with their repetitions.
	private final Set<String> digests = new HashSet<>();

	private @Nullable UpstreamTracker reservedUpstream;

	// Returns false if an equal request waits or runs, or if too many wait.
	boolean tryAdd(QueuedRequest queued) {
		if (this.waiting.size() >= MAXIMUM_WAITING || !this.digests.add(queued.request().digest())) {
			return false;
		}
		this.waiting.add(queued);
		return true;
	}

	boolean contains(RoutingRequest request) {
		return this.waiting.stream().anyMatch((queued) -> queued.request().id() == request.id());
	}

	List<QueuedRequest> waiting() {
		return new ArrayList<>(this.waiting);
	}

	boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	// The request runs; its digest stays until the attempt is completed. A reserved
	// upstream that it does not use is released.
	void recordStart(QueuedRequest queued) {
		this.waiting.remove(queued);
		releaseReservation();
	}

	void complete(RoutingRequest request) {
		this.digests.remove(request.digest());
	}

	boolean remove(RoutingRequest request) {
		boolean removed = this.waiting.removeIf((queued) -> queued.request().id() == request.id());
		if (removed) {
			this.digests.remove(request.digest());
			releaseReservation();
		}
		return removed;
	}

	// Keeps an upstream from receiving other requests until it is idle.
	void reserve(UpstreamTracker tracker) {
		releaseReservation();
		this.reservedUpstream = tracker;
		tracker.setReserved(true);
	}

	@Nullable UpstreamTracker reservedUpstream() {
		return this.reservedUpstream;
	}

	void releaseReservation() {
		if (this.reservedUpstream != null) {
			this.reservedUpstream.setReserved(false);
			this.reservedUpstream = null;
		}
	}

}
