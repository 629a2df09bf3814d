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
 * Holds the claims of once-only requests. A claim is the exclusive right of one attempt
 * to run the request with a given key. The first claim of a key is granted. Until it
 * expires, another attempt can claim the key only if the owner releases it because the
 * request did not run. The design applies the conditional acknowledgement of Penghui Li,
 * "A Deep-dive of Transactions in Apache Pulsar", 2021, to requests.
 */
final class ClaimRegistry {

	private static final int MAXIMUM_RELEASED_ATTEMPTS = 10_000;

	private final ClaimLimits limits;

	private final Map<ByteString, ClaimRecord> claims = new LinkedHashMap<>();

	private final Set<Long> releasedAttempts = new LinkedHashSet<>();

	private long recordedBodyBytes;

	ClaimRegistry(ClaimLimits limits) {
		this.limits = limits;
	}

	int claimCount() {
		return this.claims.size();
	}

	ClaimAnswer claim(ClaimRequest request, long clockMillis) {
		removeExpiredClaims(clockMillis);
		ClaimRecord existingClaim = this.claims.get(request.getKey());
		if (existingClaim != null) {
			return evaluateExistingClaim(request, existingClaim);
		}
		if (this.releasedAttempts.contains(request.getAttempt())) {
			// A delayed duplicate of a claim that its owner released must
			// not block the key.
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

	private static ClaimAnswer evaluateExistingClaim(ClaimRequest request, ClaimRecord existingClaim) {
		if (!existingClaim.getFingerprint().equals(request.getFingerprint())) {
			return ClaimAnswer.newBuilder().setVerdict(ClaimVerdict.MISMATCH).build();
		}
		ClaimAnswer.Builder answer = ClaimAnswer.newBuilder().setOwner(existingClaim.getOwner());
		if (existingClaim.hasAnswer()) {
			return answer.setVerdict(ClaimVerdict.COMPLETED).setAnswer(existingClaim.getAnswer()).build();
		}
		boolean sameAttempt = existingClaim.getAttempt() == request.getAttempt();
		return answer.setVerdict(sameAttempt ? ClaimVerdict.GRANTED : ClaimVerdict.HELD).build();
	}

	void complete(ClaimCompletion completion) {
		ClaimRecord existingClaim = this.claims.get(completion.getKey());
		if (existingClaim == null || existingClaim.getAttempt() != completion.getAttempt()
				|| existingClaim.hasAnswer()) {
			return;
		}
		RecordedAnswer response = limitBody(completion.getAnswer());
		this.recordedBodyBytes += response.getBody().size();
		this.claims.put(existingClaim.getKey(), existingClaim.toBuilder().setAnswer(response).build());
	}

	private RecordedAnswer limitBody(RecordedAnswer response) {
		int bodySize = response.getBody().size();
		boolean bodyFits = bodySize <= this.limits.maximumBodyBytes()
				&& this.recordedBodyBytes + bodySize <= this.limits.maximumTotalBodyBytes();
		return bodyFits ? response : response.toBuilder().clearBody().setBodyKept(false).build();
	}

	void release(ClaimRelease release) {
		ClaimRecord existingClaim = this.claims.get(release.getKey());
		if (existingClaim != null && existingClaim.getAttempt() == release.getAttempt() && !existingClaim.hasAnswer()) {
			this.claims.remove(release.getKey());
		}
		this.releasedAttempts.add(release.getAttempt());
		removeOldest(this.releasedAttempts, MAXIMUM_RELEASED_ATTEMPTS);
	}

	private static void removeOldest(Set<Long> attempts, int maximumCount) {
		Iterator<Long> iterator = attempts.iterator();
		while (attempts.size() > maximumCount) {
			iterator.next();
			iterator.remove();
		}
	}

	private void removeExpiredClaims(long clockMillis) {
		Iterator<ClaimRecord> iterator = this.claims.values().iterator();
		while (iterator.hasNext()) {
			ClaimRecord record = iterator.next();
			if (record.getClaimedAtMillis() + this.limits.lifetimeMillis() > clockMillis) {
				return;
			}
			this.recordedBodyBytes -= record.getAnswer().getBody().size();
			iterator.remove();
		}
	}

	void writeTo(ControlSnapshot.Builder snapshot) {
		snapshot.addAllClaims(this.claims.values()).addAllReleasedAttempts(this.releasedAttempts);
	}

	void restore(ControlSnapshot snapshot) {
		this.claims.clear();
		this.recordedBodyBytes = 0;
		for (ClaimRecord record : snapshot.getClaimsList()) {
			this.claims.put(record.getKey(), record);
			this.recordedBodyBytes += record.getAnswer().getBody().size();
		}
		this.releasedAttempts.clear();
		this.releasedAttempts.addAll(snapshot.getReleasedAttemptsList());
	}

}
