package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Requests that wait, one queue for each caller, served in turn so that a caller with
 * many requests does not delay the others.
 */
final class CallerQueues {

	private final Map<String, Deque<Waiting>> queues = new LinkedHashMap<>();

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
		Deque<Waiting> queue = this.queues.computeIfAbsent(waiting.ticket().caller(), (key) -> new ArrayDeque<>());
		if (first) {
			queue.addFirst(waiting);
		}
		else {
			queue.addLast(waiting);
		}
		this.size++;
	}

	@Nullable Waiting peek() {
		Iterator<Deque<Waiting>> iterator = this.queues.values().iterator();
		return iterator.hasNext() ? iterator.next().peek() : null;
	}

	// Removes the request that peek returned and moves its caller to the end.
	void removeFirst() {
		Map.Entry<String, Deque<Waiting>> entry = this.queues.entrySet().iterator().next();
		this.queues.remove(entry.getKey());
		entry.getValue().remove();
		this.size--;
		if (!entry.getValue().isEmpty()) {
			this.queues.put(entry.getKey(), entry.getValue());
		}
	}

	List<Waiting> removeExpired(long now) {
		List<Waiting> expired = new ArrayList<>();
		for (Deque<Waiting> queue : this.queues.values()) {
			queue.removeIf((waiting) -> waiting.expiresNanos() <= now && expired.add(waiting));
		}
		this.queues.values().removeIf(Deque::isEmpty);
		this.size -= expired.size();
		return expired;
	}

	Optional<Waiting> remove(Ticket ticket) {
		Deque<Waiting> queue = this.queues.get(ticket.caller());
		if (queue == null) {
			return Optional.empty();
		}
		Optional<Waiting> found = queue.stream().filter((waiting) -> waiting.ticket().id() == ticket.id()).findFirst();
		found.ifPresent((waiting) -> {
			queue.remove(waiting);
			this.size--;
		});
		if (queue.isEmpty()) {
			this.queues.remove(ticket.caller());
		}
		return found;
	}

	record Waiting(Ticket ticket, AttemptKind kind, long sinceNanos, long expiresNanos) {
	}

}
