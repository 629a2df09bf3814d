package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queues changed records that are piggybacked on gossip. Each record is sent in a number
 * of rounds that grows with the logarithm of the number of instances.
 *
 * @param <T> the type of the records
 */
final class ChangeQueue<T> {

	private static final int EXTRA_ROUNDS = 2;

	private final Map<String, Change<T>> changes = new LinkedHashMap<>();

	// Replaces a queued record of the same name.
	void add(String name, T value, int instanceCount) {
		int rounds = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, instanceCount)) + EXTRA_ROUNDS;
		this.changes.remove(name);
		this.changes.put(name, new Change<>(value, rounds));
	}

	// Returns the records to send in one round, those queued longest first. Records with
	// rounds left return to the end of the queue.
	List<T> pollRound(int maximumCount) {
		List<T> values = new ArrayList<>();
		Iterator<Map.Entry<String, Change<T>>> iterator = this.changes.entrySet().iterator();
		Map<String, Change<T>> requeuedChanges = new LinkedHashMap<>();
		while (iterator.hasNext() && values.size() < maximumCount) {
			Map.Entry<String, Change<T>> entry = iterator.next();
			values.add(entry.getValue().value());
			if (entry.getValue().remainingRounds() > 1) {
				requeuedChanges.put(entry.getKey(),
						new Change<>(entry.getValue().value(), entry.getValue().remainingRounds() - 1));
			}
			iterator.remove();
		}
		this.changes.putAll(requeuedChanges);
		return values;
	}

	boolean isEmpty() {
		return this.changes.isEmpty();
	}

	private record Change<T>(T value, int remainingRounds) {
	}

}
