package org.radishthread.agreement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.radishthread.protocol.AppendRequest;

/**
 * Tracks as of when a replica knows every entry that its group has committed. A leader
 * knows it as of the latest round that a quorum has acknowledged, as for a read index
 * (Raft, section 8). A follower knows what the leader knew when it had received a
 * response of that follower, so its knowledge dates from sending that response. Only
 * times of the own clock are compared, so delayed messages make the knowledge older,
 * never newer. Not thread-safe; times are monotonic, in milliseconds.
 */
final class CommitFreshness {

	static final long UNKNOWN = Long.MIN_VALUE / 2;

	private static final int MAXIMUM_ROUNDS = 64;

	// When this replica sent each round, or its response to it, in ascending order.
	private final Map<Long, Long> roundTimes = new LinkedHashMap<>();

	private long latestRound;

	private long currentAtMillis = UNKNOWN;

	long currentAtMillis() {
		return this.currentAtMillis;
	}

	// The rounds of another leader or term are unrelated.
	void startTerm() {
		this.roundTimes.clear();
		this.latestRound = 0;
	}

	void recordRound(long round, long nowMillis) {
		if (round <= this.latestRound) {
			return;
		}
		this.latestRound = round;
		this.roundTimes.put(round, nowMillis);
		if (this.roundTimes.size() > MAXIMUM_ROUNDS) {
			this.roundTimes.remove(this.roundTimes.keySet().iterator().next());
		}
	}

	// To be called on the leader once a quorum has acknowledged a round.
	void recordQuorum(long round) {
		recordCurrent(this.roundTimes.getOrDefault(round, UNKNOWN));
	}

	void recordCurrent(long atMillis) {
		this.currentAtMillis = Math.max(this.currentAtMillis, atMillis);
	}

	// To be called on a follower that has committed what the request says.
	void recordRequest(AppendRequest request) {
		Long respondedMillis = this.roundTimes.get(request.getAcknowledgedRound());
		if (respondedMillis != null && request.hasCommitAgeMillis()) {
			recordCurrent(respondedMillis - request.getCommitAgeMillis());
		}
	}

	OptionalLong ageMillis(long nowMillis) {
		return (this.currentAtMillis != UNKNOWN) ? OptionalLong.of(nowMillis - this.currentAtMillis)
				: OptionalLong.empty();
	}

}
