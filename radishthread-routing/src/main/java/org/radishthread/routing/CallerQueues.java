package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Holds the requests that wait for a slot, ordered by rank. Within a rank, workspaces,
 * and callers without a workspace, are served in turn, so that one with many requests
 * does not delay the others. Also counts the open requests of each, queued or in flight.
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
		Deque<QueuedRequest> queue = rank.computeIfAbsent(queued.request().queueName(), (key) -> new ArrayDeque<>());
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
		Deque<QueuedRequest> queue = rank.remove(queued.request().queueName());
		queue.remove();
		this.size--;
		if (!queue.isEmpty()) {
			rank.put(queued.request().queueName(), queue);
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

	// Whether the workspace of the request, or its caller, has queued requests.
	boolean hasQueued(RoutingRequest request) {
		return this.ranks.values().stream().anyMatch((rank) -> rank.containsKey(request.queueName()));
	}

	boolean contains(RoutingRequest request) {
		return find(request).isPresent();
	}

	private Optional<QueuedRequest> find(RoutingRequest request) {
		return this.ranks.values()
			.stream()
			.map((rank) -> rank.get(request.queueName()))
			.filter(Objects::nonNull)
			.flatMap(Deque::stream)
			.filter((queued) -> queued.request().id() == request.id())
			.findFirst();
	}

	// The number of queued requests that will be served before this one. For a request
	// without a workspace, the turns of callers within its rank are not taken into
	// account.
	int requestsAhead(RoutingRequest request, int rank) {
		if (request.workspace().isEmpty()) {
			return sizeUpTo(rank);
		}
		Map<String, Deque<QueuedRequest>> queues = this.ranks.getOrDefault(rank, Map.of());
		Deque<QueuedRequest> ownQueue = queues.get(request.queueName());
		int turns = 1 + ((ownQueue != null) ? ownQueue.size() : 0);
		int aheadInRank = queues.values().stream().mapToInt((queue) -> Math.min(queue.size(), turns)).sum();
		return sizeUpTo(rank - 1) + aheadInRank;
	}

	// All queued requests, in the order in which they will be served. The turns of
	// callers within a rank are taken into account only if there are workspaces.
	List<QueuedRequest> inServiceOrder() {
		List<QueuedRequest> all = new ArrayList<>();
		for (Map<String, Deque<QueuedRequest>> rank : this.ranks.values()) {
			boolean competing = rank.values()
				.stream()
				.anyMatch((queue) -> !queue.peek().request().workspace().isEmpty());
			if (competing) {
				addInTurn(rank, all);
			}
			else {
				rank.values().forEach(all::addAll);
			}
		}
		return all;
	}

	private static void addInTurn(Map<String, Deque<QueuedRequest>> rank, List<QueuedRequest> all) {
		List<Iterator<QueuedRequest>> queues = new ArrayList<>();
		rank.values().forEach((queue) -> queues.add(queue.iterator()));
		while (!queues.isEmpty()) {
			queues.forEach((queue) -> all.add(queue.next()));
			queues.removeIf((queue) -> !queue.hasNext());
		}
	}

	boolean remove(QueuedRequest queued) {
		Map<String, Deque<QueuedRequest>> rank = this.ranks.getOrDefault(queued.rank(), Map.of());
		Deque<QueuedRequest> queue = rank.get(queued.request().queueName());
		if (queue == null || !queue.remove(queued)) {
			return false;
		}
		this.size--;
		removeEmptyQueues();
		return true;
	}

	void remove(RoutingRequest request) {
		find(request).ifPresent(this::remove);
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
	 * @param expectedWaitNanos the time that it was expected to wait, in nanoseconds
	 */
	record QueuedRequest(RoutingRequest request, AttemptKind kind, int rank, long enqueuedNanos, long expiryNanos,
			double expectedWaitNanos) {
	}

}
