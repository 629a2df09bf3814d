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
 * Tracks the replication progress of all other replicas on the leader, and the reads that
 * wait for a quorum to confirm the leadership. A round is one broadcast of the leader;
 * responses carry the number of the round that they belong to.
 */
final class FollowerTable {

	private final Map<Long, FollowerProgress> followers = new TreeMap<>();

	private final Deque<PendingRead> pendingReads = new ArrayDeque<>();

	private long round;

	void clear() {
		this.followers.clear();
		this.pendingReads.clear();
	}

	void updateMembers(Configuration configuration, long selfId, long nextIndex, long nowMillis) {
		Set<Long> memberIds = new HashSet<>();
		configuration.getVotersList().forEach((replica) -> memberIds.add(replica.getId()));
		configuration.getLearnersList().forEach((replica) -> memberIds.add(replica.getId()));
		memberIds.remove(selfId);
		this.followers.keySet().retainAll(memberIds);
		memberIds
			.forEach((id) -> this.followers.computeIfAbsent(id, (key) -> new FollowerProgress(nextIndex, nowMillis)));
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

	boolean respondedSince(long id, long sinceMillis) {
		FollowerProgress progress = this.followers.get(id);
		return progress != null && progress.respondedSince(sinceMillis);
	}

	long matchIndex(long id) {
		FollowerProgress progress = this.followers.get(id);
		return (progress != null) ? progress.matchIndex() : 0;
	}

	boolean hasAcknowledged(long id, long expectedRound) {
		FollowerProgress progress = this.followers.get(id);
		return progress != null && progress.acknowledgedRound() >= expectedRound;
	}

	long round() {
		return this.round;
	}

	void nextRound() {
		this.round++;
	}

	// Only responses to the next round or a later one confirm the read. A
	// response to an earlier round does not prove that this replica was the
	// leader when the read arrived.
	void requestReadConfirmation(long token) {
		this.pendingReads.add(new PendingRead(token, this.round + 1));
	}

	List<Long> removeConfirmedReads(LongPredicate isConfirmed) {
		List<Long> confirmedTokens = new ArrayList<>();
		while (!this.pendingReads.isEmpty() && isConfirmed.test(this.pendingReads.peek().round())) {
			confirmedTokens.add(this.pendingReads.remove().token());
		}
		return confirmedTokens;
	}

	private record PendingRead(long token, long round) {
	}

}
