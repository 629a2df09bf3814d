package org.radishthread.agreement;

import java.nio.charset.StandardCharsets;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Compression;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RulePart;
import org.radishthread.protocol.SubmitRules;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the parts of a rule file that {@link RuleRegistry} returns to readers.
 */
class RuleRegistryTests {

	private static final String DOCUMENT = "{\"route\": \"tiles\"}".repeat(1_000);

	private final RuleRegistry registry = new RuleRegistry();

	private void submit(long revision, String document) {
		this.registry.submit(SubmitRules.newBuilder()
			.setRevision(revision)
			.setContent("content of " + revision)
			.setDocument(ByteString.copyFromUtf8(document))
			.build(), 0);
	}

	@Test
	void readerThatNamesNoPartReceivesTheWholeFile() {
		submit(3, DOCUMENT);
		assertThat(this.registry.readPart(RulePart.RULE_PART_WHOLE)).isEqualTo(this.registry.currentRules());
	}

	@Test
	void partOfALaterVersionIsAnsweredWithTheWholeFile() {
		submit(3, DOCUMENT);
		assertThat(this.registry.readPart(RulePart.UNRECOGNIZED)).isEqualTo(this.registry.currentRules());
	}

	@Test
	void revisionIsReadWithoutContent() {
		submit(3, DOCUMENT);
		RuleFile part = this.registry.readPart(RulePart.RULE_PART_REVISION);
		assertThat(part.getRevision()).isEqualTo(3);
		assertThat(part.getPart()).isEqualTo(RulePart.RULE_PART_REVISION);
		assertThat(part.getSerializedSize()).isLessThan(10);
	}

	@Test
	void documentIsReadCompressedAndAlwaysOfTheCurrentRevision() {
		submit(3, "former");
		this.registry.readPart(RulePart.RULE_PART_DOCUMENT);
		submit(4, DOCUMENT);
		RuleFile part = this.registry.readPart(RulePart.RULE_PART_DOCUMENT);
		assertThat(part.getRevision()).isEqualTo(4);
		assertThat(part.getSerializedSize()).isLessThan(DOCUMENT.length() / 20);
		assertThat(Compression.decompress(part.getCompressedDocument().toByteArray(), DOCUMENT.length()))
			.isEqualTo(DOCUMENT.getBytes(StandardCharsets.UTF_8));
	}

	@Test
	void contentIsReadCompressedWithoutTheDocumentAndAlwaysOfTheCurrentRevision() {
		submit(3, DOCUMENT);
		this.registry.readPart(RulePart.RULE_PART_CONTENT);
		submit(4, DOCUMENT);
		RuleFile part = this.registry.readPart(RulePart.RULE_PART_CONTENT);
		byte[] content = this.registry.currentRules().getContent().getBytes(StandardCharsets.UTF_8);
		assertThat(part.getRevision()).isEqualTo(4);
		assertThat(part.getCompressedDocument().isEmpty()).isTrue();
		assertThat(part.getDocument().isEmpty()).isTrue();
		assertThat(Compression.decompress(part.getCompressedContent().toByteArray(), content.length))
			.isEqualTo(content);
	}

}
