package org.radishthread.agreement;

import java.util.List;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleHistory;
import org.radishthread.protocol.RulesAnswer;
import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.SubmitRules;

/**
 * The rule file in force and the digests of earlier ones. A revision once accepted is
 * answered in the same way ever after, as long as it is remembered.
 */
final class RuleRegister {

	static final int REMEMBERED_REVISIONS = 50_000;

	private RuleFile current = RuleFile.getDefaultInstance();

	private final TreeMap<Long, RuleHistory> history = new TreeMap<>();

	RuleFile current() {
		return this.current;
	}

	List<RuleHistory> latest(int limit) {
		return this.history.descendingMap().values().stream().limit(limit).toList();
	}

	RulesAnswer submit(SubmitRules command, long clockMillis) {
		ByteString digest = ByteString.copyFrom(Sha256.of(command.getContent()));
		RuleHistory earlier = this.history.get(command.getRevision());
		if (command.getRevision() > this.current.getRevision()) {
			return answer(RulesVerdict.ACCEPTED, command.getRevision(), accept(command, digest, clockMillis));
		}
		if (earlier != null && earlier.getDigest().equals(digest)) {
			return answer(RulesVerdict.ACCEPTED, command.getRevision(), earlier);
		}
		boolean equal = command.getRevision() == this.current.getRevision();
		return answer(equal ? RulesVerdict.CONFLICT : RulesVerdict.STALE, command.getRevision(), earlier);
	}

	private RuleHistory accept(SubmitRules command, ByteString digest, long clockMillis) {
		this.current = RuleFile.newBuilder()
			.setRevision(command.getRevision())
			.setContent(command.getContent())
			.setDocument(command.getDocument())
			.build();
		RuleHistory accepted = RuleHistory.newBuilder()
			.setRevision(command.getRevision())
			.setDigest(digest)
			.setSubmittedBy(command.getSubmittedBy())
			.setAcceptedAtMillis(clockMillis)
			.build();
		this.history.put(accepted.getRevision(), accepted);
		if (this.history.size() > REMEMBERED_REVISIONS) {
			this.history.pollFirstEntry();
		}
		return accepted;
	}

	private RulesAnswer answer(RulesVerdict verdict, long revision, @Nullable RuleHistory winner) {
		RulesAnswer.Builder answer = RulesAnswer.newBuilder()
			.setVerdict(verdict)
			.setRevision(revision)
			.setCurrentRevision(this.current.getRevision());
		if (winner != null) {
			answer.setSubmittedBy(winner.getSubmittedBy())
				.setAcceptedAtMillis(winner.getAcceptedAtMillis())
				.setDigest(winner.getDigest());
		}
		return answer.build();
	}

	void save(ControlSnapshot.Builder snapshot) {
		snapshot.setRules(this.current).addAllHistory(this.history.values());
	}

	void restore(ControlSnapshot snapshot) {
		this.current = snapshot.getRules();
		this.history.clear();
		snapshot.getHistoryList().forEach((entry) -> this.history.put(entry.getRevision(), entry));
	}

	int size() {
		return this.history.size();
	}

}
