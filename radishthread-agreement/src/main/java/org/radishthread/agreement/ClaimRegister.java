package org.radishthread.agreement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.ByteString;

import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.ClaimCompletion;
import org.radishthread.protocol.ClaimRecord;
import org.radishthread.protocol.ClaimRelease;
import org.radishthread.protocol.ClaimRequest;
import org.radishthread.protocol.ClaimVerdict;
import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.RecordedAnswer;

/**
 * Claims of requests that run at most once. The first claim of a key wins; it never
 * changes hands unless its owner releases it because the request did not run. This is the
 * conditional acknowledgement of Penghui Li, "A Deep-dive of Transactions in Apache
 * Pulsar", 2021, applied to requests.
 */
final class ClaimRegister {

	private static final int REMEMBERED_RELEASES = 10_000;

	private final ClaimLimits limits;

	private final Map<ByteString, ClaimRecord> claims = new LinkedHashMap<>();

	private final Set<Long> releasedAttempts = new LinkedHashSet<>();

	private long bodyBytes;

	ClaimRegister(ClaimLimits limits) {
		this.limits = limits;
	}

	int size() {
		return this.claims.size();
	}

	ClaimAnswer claim(ClaimRequest request, long clockMillis) {
		expire(clockMillis);
		ClaimRecord held = this.claims.get(request.getKey());
		if (held != null) {
			return answerHeld(request, held);
		}
		if (this.releasedAttempts.contains(request.getAttempt())) {
			// A late copy of a claim that its owner gave up must not hold the key.
			return ClaimAnswer.newBuilder().setVerdict(ClaimVerdict.HELD).build();
		}
		if (this.claims.size() >= this.limits.maximumClaims()) {
			return ClaimAnswer.newBuilder().setVerdict(ClaimVerdict.FULL).build();
		}
		ClaimRecord record = ClaimRecord.newBuilder()
			.setKey(request.getKey())
			.setFingerprint(request.getFingerprint())
			.setOwner(request.getOwner())
			.setAttempt(request.getAttempt())
			.setClaimedAtMillis(clockMillis)
			.build();
		this.claims.put(request.getKey(), record);
		return ClaimAnswer.newBuilder().setVerdict(ClaimVerdict.GRANTED).setOwner(record.getOwner()).build();
	}

	private static ClaimAnswer answerHeld(ClaimRequest request, ClaimRecord held) {
		if (!held.getFingerprint().equals(request.getFingerprint())) {
			return ClaimAnswer.newBuilder().setVerdict(ClaimVerdict.MISMATCH).build();
		}
		ClaimAnswer.Builder answer = ClaimAnswer.newBuilder().setOwner(held.getOwner());
		if (held.hasAnswer()) {
			return answer.setVerdict(ClaimVerdict.COMPLETED).setAnswer(held.getAnswer()).build();
		}
		boolean sameAttempt = held.getAttempt() == request.getAttempt();
		return answer.setVerdict(sameAttempt ? ClaimVerdict.GRANTED : ClaimVerdict.HELD).build();
	}

	void complete(ClaimCompletion completion) {
		ClaimRecord held = this.claims.get(completion.getKey());
		if (held == null || held.getAttempt() != completion.getAttempt() || held.hasAnswer()) {
			return;
		}
		RecordedAnswer answer = bounded(completion.getAnswer());
		this.bodyBytes += answer.getBody().size();
		this.claims.put(held.getKey(), held.toBuilder().setAnswer(answer).build());
	}

	private RecordedAnswer bounded(RecordedAnswer answer) {
		int size = answer.getBody().size();
		boolean fits = size <= this.limits.maximumBodyBytes()
				&& this.bodyBytes + size <= this.limits.maximumTotalBodyBytes();
		return fits ? answer : answer.toBuilder().clearBody().setBodyKept(false).build();
	}

	void release(ClaimRelease release) {
		ClaimRecord held = this.claims.get(release.getKey());
		if (held != null && held.getAttempt() == release.getAttempt() && !held.hasAnswer()) {
			this.claims.remove(release.getKey());
		}
		this.releasedAttempts.add(release.getAttempt());
		removeEldest(this.releasedAttempts, REMEMBERED_RELEASES);
	}

	private static void removeEldest(Set<Long> values, int maximum) {
		Iterator<Long> iterator = values.iterator();
		while (values.size() > maximum) {
			iterator.next();
			iterator.remove();
		}
	}

	private void expire(long clockMillis) {
		Iterator<ClaimRecord> iterator = this.claims.values().iterator();
		while (iterator.hasNext()) {
			ClaimRecord record = iterator.next();
			if (record.getClaimedAtMillis() + this.limits.lifetimeMillis() > clockMillis) {
				return;
			}
			this.bodyBytes -= record.getAnswer().getBody().size();
			iterator.remove();
		}
	}

	void save(ControlSnapshot.Builder snapshot) {
		snapshot.addAllClaims(this.claims.values()).addAllReleasedAttempts(this.releasedAttempts);
	}

	void restore(ControlSnapshot snapshot) {
		this.claims.clear();
		this.bodyBytes = 0;
		for (ClaimRecord record : snapshot.getClaimsList()) {
			this.claims.put(record.getKey(), record);
			this.bodyBytes += record.getAnswer().getBody().size();
		}
		this.releasedAttempts.clear();
		this.releasedAttempts.addAll(snapshot.getReleasedAttemptsList());
	}

}
