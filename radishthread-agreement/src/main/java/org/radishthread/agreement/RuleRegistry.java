package org.radishthread.agreement;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Compression;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleHistory;
import org.radishthread.protocol.RulePart;
import org.radishthread.protocol.RulesAnswer;
import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.SubmitRules;

/**
 * Holds the rule file in force and the digests of the accepted revisions. Submitting an
 * accepted revision again with the same content returns the verdict, submitter and time
 * of the first submission, as long as the revision is retained.
 */
final class RuleRegistry {

	static final int RETAINED_REVISIONS = 50_000;

	private RuleFile currentRules = RuleFile.getDefaultInstance();

	// The document of the current rules, compressed when it was first read.
	private RuleFile encodedDocument = RuleFile.getDefaultInstance();

	private RuleFile encodedContent = RuleFile.getDefaultInstance();

	private final TreeMap<Long, RuleHistory> history = new TreeMap<>();

	RuleFile currentRules() {
		return this.currentRules;
	}

	// Returns what a reader needs of the rules in force.
	RuleFile readPart(RulePart part) {
		return switch (part) {
			case RULE_PART_REVISION ->
				RuleFile.newBuilder().setRevision(this.currentRules.getRevision()).setPart(part).build();
			case RULE_PART_DOCUMENT -> readDocument();
			case RULE_PART_CONTENT -> readContent();
			default -> this.currentRules;
		};
	}

	private RuleFile readContent() {
		if (this.encodedContent.getRevision() != this.currentRules.getRevision()) {
			byte[] compressed = Compression.compress(this.currentRules.getContent().getBytes(StandardCharsets.UTF_8));
			this.encodedContent = RuleFile.newBuilder()
				.setRevision(this.currentRules.getRevision())
				.setPart(RulePart.RULE_PART_CONTENT)
				.setCompressedContent(ByteString.copyFrom(compressed))
				.build();
		}
		return this.encodedContent;
	}

	private RuleFile readDocument() {
		if (this.encodedDocument.getRevision() != this.currentRules.getRevision()) {
			byte[] compressed = Compression.compress(this.currentRules.getDocument().toByteArray());
			this.encodedDocument = RuleFile.newBuilder()
				.setRevision(this.currentRules.getRevision())
				.setPart(RulePart.RULE_PART_DOCUMENT)
				.setCompressedDocument(ByteString.copyFrom(compressed))
				.build();
		}
		return this.encodedDocument;
	}

	List<RuleHistory> latestRevisions(int limit) {
		return this.history.descendingMap().values().stream().limit(limit).toList();
	}

	RulesAnswer submit(SubmitRules command, long clockMillis) {
		ByteString digest = ByteString.copyFrom(Sha256.of(command.getContent()));
		RuleHistory retainedEntry = this.history.get(command.getRevision());
		if (command.getRevision() > this.currentRules.getRevision()) {
			return buildAnswer(RulesVerdict.ACCEPTED, command.getRevision(), accept(command, digest, clockMillis));
		}
		if (retainedEntry != null && retainedEntry.getDigest().equals(digest)) {
			return buildAnswer(RulesVerdict.ACCEPTED, command.getRevision(), retainedEntry);
		}
		boolean isCurrentRevision = command.getRevision() == this.currentRules.getRevision();
		return buildAnswer(isCurrentRevision ? RulesVerdict.CONFLICT : RulesVerdict.STALE, command.getRevision(),
				retainedEntry);
	}

	private RuleHistory accept(SubmitRules command, ByteString digest, long clockMillis) {
		this.currentRules = RuleFile.newBuilder()
			.setRevision(command.getRevision())
			.setContent(command.getContent())
			.setDocument(command.getDocument())
			.build();
		RuleHistory historyEntry = RuleHistory.newBuilder()
			.setRevision(command.getRevision())
			.setDigest(digest)
			.setSubmittedBy(command.getSubmittedBy())
			.setAcceptedAtMillis(clockMillis)
			.build();
		this.history.put(historyEntry.getRevision(), historyEntry);
		if (this.history.size() > RETAINED_REVISIONS) {
			this.history.pollFirstEntry();
		}
		return historyEntry;
	}

	private RulesAnswer buildAnswer(RulesVerdict verdict, long revision, @Nullable RuleHistory acceptedEntry) {
		RulesAnswer.Builder answer = RulesAnswer.newBuilder()
			.setVerdict(verdict)
			.setRevision(revision)
			.setCurrentRevision(this.currentRules.getRevision());
		if (acceptedEntry != null) {
			answer.setSubmittedBy(acceptedEntry.getSubmittedBy())
				.setAcceptedAtMillis(acceptedEntry.getAcceptedAtMillis())
				.setDigest(acceptedEntry.getDigest());
		}
		return answer.build();
	}

	void writeTo(ControlSnapshot.Builder snapshot) {
		snapshot.setRules(this.currentRules).addAllHistory(this.history.values());
	}

	void restore(ControlSnapshot snapshot) {
		this.currentRules = snapshot.getRules();
		this.history.clear();
		snapshot.getHistoryList().forEach((entry) -> this.history.put(entry.getRevision(), entry));
	}

	int revisionCount() {
		return this.history.size();
	}

}
