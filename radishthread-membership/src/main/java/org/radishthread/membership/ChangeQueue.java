package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Changed records that still ride on gossip, each for a number of rounds that grows with
 * the logarithm of the number of instances.
 *
 * @param <T> the type of the records
 */
final class ChangeQueue<T> {

	private static final int EXTRA_ROUNDS = 2;

	private final Map<String, Pending<T>> pending = new LinkedHashMap<>();

	void add(String name, T changed, int instances) {
		int rounds = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, instances)) + EXTRA_ROUNDS;
		this.pending.remove(name);
		this.pending.put(name, new Pending<>(changed, rounds));
	}

	// Takes the records of one round, the least often sent first.
	List<T> takeRound(int maximum) {
		List<T> round = new ArrayList<>();
		Iterator<Map.Entry<String, Pending<T>>> iterator = this.pending.entrySet().iterator();
		Map<String, Pending<T>> remaining = new LinkedHashMap<>();
		while (iterator.hasNext() && round.size() < maximum) {
			Map.Entry<String, Pending<T>> entry = iterator.next();
			round.add(entry.getValue().changed());
			if (entry.getValue().rounds() > 1) {
				remaining.put(entry.getKey(), new Pending<>(entry.getValue().changed(), entry.getValue().rounds() - 1));
			}
			iterator.remove();
		}
		this.pending.putAll(remaining);
		return round;
	}

	boolean isEmpty() {
		return this.pending.isEmpty();
	}

	private record Pending<T>(T changed, int rounds) {
	}

}
