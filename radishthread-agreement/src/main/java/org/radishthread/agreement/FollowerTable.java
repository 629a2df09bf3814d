package org.radishthread.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.LongPredicate;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.Configuration;

/**
 * What a leader knows of all other replicas, and the reads that wait for them to confirm
 * that it still leads.
 */
final class FollowerTable {

	private final Map<Long, FollowerProgress> followers = new TreeMap<>();

	private final Deque<PendingRead> pendingReads = new ArrayDeque<>();

	private long round;

	void clear() {
		this.followers.clear();
		this.pendingReads.clear();
	}

	void keepOnly(Configuration configuration, long self, long nextIndex, long now) {
		Set<Long> present = new HashSet<>();
		configuration.getVotersList().forEach((replica) -> present.add(replica.getId()));
		configuration.getLearnersList().forEach((replica) -> present.add(replica.getId()));
		present.remove(self);
		this.followers.keySet().retainAll(present);
		present.forEach((id) -> this.followers.computeIfAbsent(id, (key) -> new FollowerProgress(nextIndex, now)));
	}

	boolean isEmpty() {
		return this.followers.isEmpty();
	}

	@Nullable FollowerProgress get(long id) {
		return this.followers.get(id);
	}

	void forEach(BiConsumer<Long, FollowerProgress> action) {
		this.followers.forEach(action);
	}

	boolean respondedSince(long id, long millis) {
		FollowerProgress progress = this.followers.get(id);
		return progress != null && progress.respondedSince(millis);
	}

	long matchIndex(long id) {
		FollowerProgress progress = this.followers.get(id);
		return (progress != null) ? progress.matchIndex() : 0;
	}

	boolean acknowledged(long id, long expectedRound) {
		FollowerProgress progress = this.followers.get(id);
		return progress != null && progress.acknowledgedRound() >= expectedRound;
	}

	long round() {
		return this.round;
	}

	void nextRound() {
		this.round++;
	}

	// The read is confirmed by answers to messages of the next round or a later one.
	void confirmRead(long token) {
		this.pendingReads.add(new PendingRead(token, this.round + 1));
	}

	List<Long> takeConfirmedReads(LongPredicate confirmedRound) {
		List<Long> confirmed = new ArrayList<>();
		while (!this.pendingReads.isEmpty() && confirmedRound.test(this.pendingReads.peek().round())) {
			confirmed.add(this.pendingReads.remove().token());
		}
		return confirmed;
	}

	private record PendingRead(long token, long round) {
	}

}
