package org.radishthread.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.ClaimRequest;
import org.radishthread.protocol.ClaimVerdict;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.RecordedAnswer;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RulesVerdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the safety properties of the control group against an in-memory model: each
 * accepted revision has one content and is never lost, each once-only request runs at
 * most once, and each term has at most one leader.
 */
final class AgreementChecker {

	private final Map<Long, ControlRequest> requests = new HashMap<>();

	private final Map<Long, Long> acceptedRevisionAtRequest = new HashMap<>();

	private final Map<Long, String> contentByRevision = new HashMap<>();

	private final Map<FakeControlInstance, Long> appliedRevisionByInstance = new HashMap<>();

	// The highest revision that was accepted until each time, in milliseconds.
	private final NavigableMap<Long, Long> acceptedRevisionByMillis = new TreeMap<>();

	private final Map<ByteString, Long> executedAttemptByKey = new HashMap<>();

	private final Map<ByteString, RecordedAnswer> recordedResponseByKey = new HashMap<>();

	private final Set<Long> releasedAttempts = new HashSet<>();

	private final Map<Long, Long> leaderByTerm = new HashMap<>();

	private final Map<Long, LogEntry> committedEntries = new HashMap<>();

	long acceptedRevision;

	int acceptedCount;

	int grantedCount;

	int confirmedReadCount;

	int checkedFreshnessCount;

	void recordRequest(ControlRequest request) {
		this.requests.put(request.getId(), request);
		this.acceptedRevisionAtRequest.put(request.getId(), this.acceptedRevision);
	}

	@Nullable ClaimRequest claimOf(long id) {
		ControlRequest request = this.requests.get(id);
		return (request != null && request.getCommand().hasClaim()) ? request.getCommand().getClaim() : null;
	}

	void checkResponse(ControlResponse response, long nowMillis) {
		ControlRequest request = this.requests.get(response.getId());
		assertThat(request).as("response to a known request").isNotNull();
		if (response.hasRules()) {
			checkRulesAnswer(request, response, nowMillis);
		}
		if (response.hasRuleFile()) {
			this.confirmedReadCount++;
			assertThat(response.getRuleFile().getRevision()).as("confirmed read")
				.isGreaterThanOrEqualTo(this.acceptedRevisionAtRequest.get(response.getId()));
		}
		if (response.hasClaim()) {
			checkClaimAnswer(request.getCommand().getClaim(), response.getClaim());
		}
	}

	private void checkRulesAnswer(ControlRequest request, ControlResponse response, long nowMillis) {
		if (response.getRules().getVerdict() != RulesVerdict.ACCEPTED) {
			assertThat(request.getCommand().getSubmitRules().getRevision()).as("revision that was not accepted")
				.isLessThanOrEqualTo(response.getRules().getCurrentRevision());
			return;
		}
		this.acceptedCount++;
		long revision = request.getCommand().getSubmitRules().getRevision();
		recordRevision(revision, request.getCommand().getSubmitRules().getContent());
		this.acceptedRevision = Math.max(this.acceptedRevision, revision);
		this.acceptedRevisionByMillis.put(nowMillis, this.acceptedRevision);
	}

	private void recordRevision(long revision, String content) {
		String previousContent = this.contentByRevision.putIfAbsent(revision, content);
		assertThat(previousContent == null || previousContent.equals(content))
			.as("revision %d has only one content", revision)
			.isTrue();
	}

	void recordAppliedRules(FakeControlInstance instance, RuleFile rules) {
		recordRevision(rules.getRevision(), rules.getContent());
		Long previousRevision = this.appliedRevisionByInstance.put(instance, rules.getRevision());
		assertThat(previousRevision == null || previousRevision < rules.getRevision())
			.as("applied revision increases at %s", instance)
			.isTrue();
	}

	// Checks election safety and state machine safety (Raft paper, figure 3).
	void checkReplica(Replica replica) {
		if (replica.role() == ReplicaRole.LEADER) {
			Long otherLeaderId = this.leaderByTerm.putIfAbsent(replica.term(), replica.id());
			assertThat(otherLeaderId == null || otherLeaderId == replica.id())
				.as("one leader in term %d", replica.term())
				.isTrue();
		}
		for (long index = replica.log().baseIndex() + 1; index <= replica.commitIndex(); index++) {
			LogEntry entry = replica.log().entryAt(index);
			LogEntry otherEntry = this.committedEntries.putIfAbsent(index, entry);
			assertThat(otherEntry == null || otherEntry.equals(entry)).as("one committed entry at index %d", index)
				.isTrue();
		}
	}

	// Checks that an instance has applied every revision that was accepted before the
	// time as of which it claims to know all.
	void checkFreshness(FakeControlInstance instance, ControlReplica replica, long nowMillis) {
		assertThat(replica.rulesCurrentAtMillis()).as("freshness of %s", instance).isLessThanOrEqualTo(nowMillis);
		Map.Entry<Long, Long> accepted = this.acceptedRevisionByMillis.lowerEntry(replica.rulesCurrentAtMillis());
		if (accepted != null) {
			this.checkedFreshnessCount++;
			assertThat(this.appliedRevisionByInstance.getOrDefault(instance, 0L)).as("applied revision of %s", instance)
				.isGreaterThanOrEqualTo(accepted.getValue());
		}
	}

	void recordRestart(FakeControlInstance instance) {
		this.appliedRevisionByInstance.remove(instance);
	}

	void recordRelease(long attempt) {
		this.releasedAttempts.add(attempt);
	}

	private void checkClaimAnswer(ClaimRequest claim, ClaimAnswer answer) {
		if (answer.getVerdict() == ClaimVerdict.COMPLETED) {
			assertThat(answer.getAnswer()).as("recorded response")
				.isEqualTo(this.recordedResponseByKey.get(claim.getKey()));
		}
		if (answer.getVerdict() != ClaimVerdict.GRANTED || this.releasedAttempts.contains(claim.getAttempt())) {
			return;
		}
		// The owner runs the request now; claims that it released
		// before are excluded above.
		this.grantedCount++;
		Long executedAttempt = this.executedAttemptByKey.putIfAbsent(claim.getKey(), claim.getAttempt());
		assertThat(executedAttempt == null || executedAttempt == claim.getAttempt())
			.as("key %s runs at most once", claim.getKey())
			.isTrue();
	}

	int executedKeyCount() {
		return this.executedAttemptByKey.size();
	}

	boolean hasRun(ByteString key, long attempt) {
		Long executedAttempt = this.executedAttemptByKey.get(key);
		return executedAttempt != null && executedAttempt == attempt;
	}

	void recordCompletion(ByteString key, RecordedAnswer response) {
		this.recordedResponseByKey.putIfAbsent(key, response);
	}

	RecordedAnswer recordedResponseOf(ByteString key) {
		return this.recordedResponseByKey.getOrDefault(key,
				RecordedAnswer.newBuilder()
					.setStatus(200)
					.setBodyKept(true)
					.setBody(ByteString.copyFromUtf8("response to " + key.toStringUtf8()))
					.build());
	}

}
