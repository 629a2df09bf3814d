package org.radishthread.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

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
 * What must be true whatever happens: a map of accepted revisions and a set of runs.
 */
final class AgreementOracle {

	private final Map<Long, ControlRequest> asked = new HashMap<>();

	private final Map<Long, Long> acceptedWhenAsked = new HashMap<>();

	private final Map<Long, String> contentOfRevision = new HashMap<>();

	private final Map<FakeControlInstance, Long> appliedSinceStart = new HashMap<>();

	private final Map<ByteString, Long> runOfKey = new HashMap<>();

	private final Map<ByteString, RecordedAnswer> answerOfKey = new HashMap<>();

	private final Set<Long> released = new HashSet<>();

	private final Map<Long, Long> leaderOfTerm = new HashMap<>();

	private final Map<Long, LogEntry> committedEntries = new HashMap<>();

	long acceptedRevision;

	int acceptances;

	int grants;

	int reads;

	void asked(ControlRequest request) {
		this.asked.put(request.getId(), request);
		this.acceptedWhenAsked.put(request.getId(), this.acceptedRevision);
	}

	@Nullable ClaimRequest claimOf(long id) {
		ControlRequest request = this.asked.get(id);
		return (request != null && request.getCommand().hasClaim()) ? request.getCommand().getClaim() : null;
	}

	void answered(ControlResponse response) {
		ControlRequest request = this.asked.get(response.getId());
		assertThat(request).as("answer to a request that was asked").isNotNull();
		if (response.hasRules()) {
			rulesAnswered(request, response);
		}
		if (response.hasRuleFile()) {
			this.reads++;
			assertThat(response.getRuleFile().getRevision()).as("confirmed read")
				.isGreaterThanOrEqualTo(this.acceptedWhenAsked.get(response.getId()));
		}
		if (response.hasClaim()) {
			claimAnswered(request.getCommand().getClaim(), response.getClaim());
		}
	}

	private void rulesAnswered(ControlRequest request, ControlResponse response) {
		if (response.getRules().getVerdict() != RulesVerdict.ACCEPTED) {
			assertThat(request.getCommand().getSubmitRules().getRevision()).as("refused revision")
				.isLessThanOrEqualTo(response.getRules().getCurrentRevision());
			return;
		}
		this.acceptances++;
		long revision = request.getCommand().getSubmitRules().getRevision();
		inForce(revision, request.getCommand().getSubmitRules().getContent());
		this.acceptedRevision = Math.max(this.acceptedRevision, revision);
	}

	private void inForce(long revision, String content) {
		String known = this.contentOfRevision.putIfAbsent(revision, content);
		assertThat(known == null || known.equals(content)).as("revision %d stands for one content", revision).isTrue();
	}

	void applied(FakeControlInstance instance, RuleFile rules) {
		inForce(rules.getRevision(), rules.getContent());
		Long before = this.appliedSinceStart.put(instance, rules.getRevision());
		assertThat(before == null || before < rules.getRevision()).as("revision never goes back at %s", instance)
			.isTrue();
	}

	// Election safety and state machine safety, after the paper on Raft, figure 3.
	void observe(Replica replica) {
		if (replica.role() == ReplicaRole.LEADER) {
			Long other = this.leaderOfTerm.putIfAbsent(replica.term(), replica.identity());
			assertThat(other == null || other == replica.identity()).as("one leader in term %d", replica.term())
				.isTrue();
		}
		for (long i = replica.log().baseIndex() + 1; i <= replica.commitIndex(); i++) {
			LogEntry entry = replica.log().entryAt(i);
			LogEntry other = this.committedEntries.putIfAbsent(i, entry);
			assertThat(other == null || other.equals(entry)).as("one committed entry at %d", i).isTrue();
		}
	}

	void restarted(FakeControlInstance instance) {
		this.appliedSinceStart.remove(instance);
	}

	void releasing(long attempt) {
		this.released.add(attempt);
	}

	private void claimAnswered(ClaimRequest claim, ClaimAnswer answer) {
		if (answer.getVerdict() == ClaimVerdict.COMPLETED) {
			assertThat(answer.getAnswer()).as("recorded answer").isEqualTo(this.answerOfKey.get(claim.getKey()));
		}
		if (answer.getVerdict() != ClaimVerdict.GRANTED || this.released.contains(claim.getAttempt())) {
			return;
		}
		// The owner sends the request now, unless it gave the claim up before.
		this.grants++;
		Long ran = this.runOfKey.putIfAbsent(claim.getKey(), claim.getAttempt());
		assertThat(ran == null || ran == claim.getAttempt()).as("key %s runs at most once", claim.getKey()).isTrue();
	}

	int ranKeys() {
		return this.runOfKey.size();
	}

	boolean hasRun(ByteString key, long attempt) {
		Long ran = this.runOfKey.get(key);
		return ran != null && ran == attempt;
	}

	void completing(ByteString key, RecordedAnswer answer) {
		this.answerOfKey.putIfAbsent(key, answer);
	}

	RecordedAnswer answerOf(ByteString key) {
		return this.answerOfKey.getOrDefault(key,
				RecordedAnswer.newBuilder()
					.setStatus(200)
					.setBodyKept(true)
					.setBody(ByteString.copyFromUtf8("answer to " + key.toStringUtf8()))
					.build());
	}

}
