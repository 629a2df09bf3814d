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
 * Requests that wait, by rank and within a rank by caller, served in turn so that a
 * caller with many requests does not delay the others.
 */
final class CallerQueues {

	private final TreeMap<Integer, Map<String, Deque<Waiting>>> ranks = new TreeMap<>();

	private final Map<String, Integer> held = new HashMap<>();

	private int size;

	int size() {
		return this.size;
	}

	// Requests of the caller that wait or are in flight.
	int heldBy(String caller) {
		return this.held.getOrDefault(caller, 0);
	}

	int callers() {
		return this.held.size();
	}

	void admitted(String caller) {
		this.held.merge(caller, 1, Integer::sum);
	}

	void closed(String caller) {
		this.held.computeIfPresent(caller, (key, count) -> (count > 1) ? count - 1 : null);
	}

	void add(Waiting waiting, boolean first) {
		Map<String, Deque<Waiting>> rank = this.ranks.computeIfAbsent(waiting.rank(), (key) -> new LinkedHashMap<>());
		Deque<Waiting> queue = rank.computeIfAbsent(waiting.ticket().caller(), (key) -> new ArrayDeque<>());
		if (first) {
			queue.addFirst(waiting);
		}
		else {
			queue.addLast(waiting);
		}
		this.size++;
	}

	// The request whose turn it is among those of a rank and of the later ones.
	@Nullable Waiting peek(int leastRank) {
		Map.Entry<Integer, Map<String, Deque<Waiting>>> rank = this.ranks.ceilingEntry(leastRank);
		return (rank != null) ? rank.getValue().values().iterator().next().peek() : null;
	}

	// Removes a request that peek returned and moves its caller to the end of its rank.
	void removeFirst(Waiting waiting) {
		Map<String, Deque<Waiting>> rank = this.ranks.getOrDefault(waiting.rank(), Map.of());
		Deque<Waiting> queue = rank.remove(waiting.ticket().caller());
		queue.remove();
		this.size--;
		if (!queue.isEmpty()) {
			rank.put(waiting.ticket().caller(), queue);
		}
		dropEmpty();
	}

	private void dropEmpty() {
		this.ranks.values().forEach((rank) -> rank.values().removeIf(Deque::isEmpty));
		this.ranks.values().removeIf(Map::isEmpty);
	}

	// The requests that wait in this rank and in those served before it.
	int sizeUpTo(int rank) {
		return this.ranks.headMap(rank, true)
			.values()
			.stream()
			.flatMap((callers) -> callers.values().stream())
			.mapToInt(Deque::size)
			.sum();
	}

	// All that wait, in about the order in which they will be served.
	List<Waiting> inOrder() {
		List<Waiting> all = new ArrayList<>();
		this.ranks.values().forEach((rank) -> rank.values().forEach(all::addAll));
		return all;
	}

	boolean remove(Waiting waiting) {
		Map<String, Deque<Waiting>> rank = this.ranks.getOrDefault(waiting.rank(), Map.of());
		Deque<Waiting> queue = rank.get(waiting.ticket().caller());
		if (queue == null || !queue.remove(waiting)) {
			return false;
		}
		this.size--;
		dropEmpty();
		return true;
	}

	void remove(RoutingRequest ticket) {
		inOrder().stream()
			.filter((waiting) -> waiting.ticket().id() == ticket.id())
			.findFirst()
			.ifPresent(this::remove);
	}

	/**
	 * A request that waits.
	 *
	 * @param ticket the request
	 * @param kind why it is to be sent
	 * @param rank its place among ranks, the least first
	 * @param sinceNanos when it began to wait, in nanoseconds
	 * @param expiresNanos when it is given up, in nanoseconds
	 */
	record Waiting(RoutingRequest ticket, AttemptKind kind, int rank, long sinceNanos, long expiresNanos) {
	}

}
