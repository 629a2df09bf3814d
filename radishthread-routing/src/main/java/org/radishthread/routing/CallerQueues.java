package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Holds the requests that wait for a slot, ordered by rank. Within a rank, callers are
 * served in turn, so that a caller with many requests does not delay the others. Also
 * counts the open requests of each caller, queued or in flight.
 */
final class CallerQueues {

	private final TreeMap<Integer, Map<String, Deque<QueuedRequest>>> ranks = new TreeMap<>();

	private final Map<String, Integer> openRequestsByCaller = new HashMap<>();

	private int size;

	int size() {
		return this.size;
	}

	// The number of requests of the caller that are queued or in flight.
	int openRequests(String caller) {
		return this.openRequestsByCaller.getOrDefault(caller, 0);
	}

	int callerCount() {
		return this.openRequestsByCaller.size();
	}

	void recordAdmission(String caller) {
		this.openRequestsByCaller.merge(caller, 1, Integer::sum);
	}

	void recordClose(String caller) {
		this.openRequestsByCaller.computeIfPresent(caller, (key, count) -> (count > 1) ? count - 1 : null);
	}

	void add(QueuedRequest queued, boolean atHead) {
		Map<String, Deque<QueuedRequest>> rank = this.ranks.computeIfAbsent(queued.rank(),
				(key) -> new LinkedHashMap<>());
		Deque<QueuedRequest> queue = rank.computeIfAbsent(queued.request().caller(), (key) -> new ArrayDeque<>());
		if (atHead) {
			queue.addFirst(queued);
		}
		else {
			queue.addLast(queued);
		}
		this.size++;
	}

	// Returns the request to serve next among those of the minimum rank or
	// a later one.
	@Nullable QueuedRequest peek(int minimumRank) {
		Map.Entry<Integer, Map<String, Deque<QueuedRequest>>> rank = this.ranks.ceilingEntry(minimumRank);
		return (rank != null) ? rank.getValue().values().iterator().next().peek() : null;
	}

	// Removes the request that peek returned and moves its caller to the end
	// of its rank.
	void removeFirst(QueuedRequest queued) {
		Map<String, Deque<QueuedRequest>> rank = this.ranks.getOrDefault(queued.rank(), Map.of());
		Deque<QueuedRequest> queue = rank.remove(queued.request().caller());
		queue.remove();
		this.size--;
		if (!queue.isEmpty()) {
			rank.put(queued.request().caller(), queue);
		}
		removeEmptyQueues();
	}

	private void removeEmptyQueues() {
		this.ranks.values().forEach((rank) -> rank.values().removeIf(Deque::isEmpty));
		this.ranks.values().removeIf(Map::isEmpty);
	}

	// The number of queued requests of this rank and of those served before it.
	int sizeUpTo(int rank) {
		return this.ranks.headMap(rank, true)
			.values()
			.stream()
			.flatMap((callers) -> callers.values().stream())
			.mapToInt(Deque::size)
			.sum();
	}

	// All queued requests, in about the order in which they will be served: the
	// turns of callers within a rank are not taken into account.
	List<QueuedRequest> inServiceOrder() {
		List<QueuedRequest> all = new ArrayList<>();
		this.ranks.values().forEach((rank) -> rank.values().forEach(all::addAll));
		return all;
	}

	boolean remove(QueuedRequest queued) {
		Map<String, Deque<QueuedRequest>> rank = this.ranks.getOrDefault(queued.rank(), Map.of());
		Deque<QueuedRequest> queue = rank.get(queued.request().caller());
		if (queue == null || !queue.remove(queued)) {
			return false;
		}
		this.size--;
		removeEmptyQueues();
		return true;
	}

	void remove(RoutingRequest request) {
		inServiceOrder().stream()
			.filter((queued) -> queued.request().id() == request.id())
			.findFirst()
			.ifPresent(this::remove);
	}

	/**
	 * A request that waits for a slot.
	 *
	 * @param request the request
	 * @param kind the kind of attempt that waits
	 * @param rank its rank; lower ranks are served first
	 * @param enqueuedNanos the monotonic time when it was queued, in nanoseconds
	 * @param expiryNanos the monotonic time when it is refused if it still waits, in
	 * nanoseconds
	 */
	record QueuedRequest(RoutingRequest request, AttemptKind kind, int rank, long enqueuedNanos, long expiryNanos) {
	}

}
