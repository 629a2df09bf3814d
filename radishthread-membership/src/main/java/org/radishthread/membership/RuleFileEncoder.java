package org.radishthread.membership;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.protobuf.ByteString;

import org.radishthread.kernel.Compression;
import org.radishthread.kernel.LineDifference;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.RuleDifference;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleLineBlock;
import org.radishthread.protocol.RuleLines;
import org.radishthread.protocol.RuleRequest;

/**
 * Encodes the applied rules for peers that request them: as the difference from the
 * revision that the peer has if its content is retained, else whole and compressed. Each
 * form is computed once for a revision, however many peers request it. Not thread-safe.
 */
final class RuleFileEncoder {

	// A small part of the heap of an instance, and some dozen revisions of common size.
	private static final long MAXIMUM_RETAINED_CHARACTERS = 4L * 1024 * 1024;

	private final boolean retaining;

	// Former revisions, oldest first.
	private final Map<Long, String> formerContents = new LinkedHashMap<>();

	// The digests of former revisions that peers have named.
	private final Map<Long, ByteString> formerDigests = new HashMap<>();

	private long formerCharacters;

	private RuleFile current = RuleFile.getDefaultInstance();

	// The encoded forms of the current rules, by the revision of the base, or zero for
	// the whole content.
	private final Map<Long, RuleFile> encodedFiles = new HashMap<>();

	/**
	 * Creates an encoder.
	 * @param retaining whether former revisions are retained as bases of differences
	 */
	RuleFileEncoder(boolean retaining) {
		this.retaining = retaining;
	}

	void setCurrent(RuleFile newFile) {
		if (this.retaining && this.current.getRevision() > 0) {
			this.formerContents.put(this.current.getRevision(), this.current.getContent());
			this.formerCharacters += this.current.getContent().length();
			dropOldest();
		}
		this.current = newFile;
		this.encodedFiles.clear();
	}

	private void dropOldest() {
		Iterator<String> oldest = this.formerContents.values().iterator();
		while (this.formerCharacters > MAXIMUM_RETAINED_CHARACTERS && oldest.hasNext()) {
			this.formerCharacters -= oldest.next().length();
			oldest.remove();
		}
		this.formerDigests.keySet().retainAll(this.formerContents.keySet());
	}

	RuleFile encode(RuleRequest request) {
		if (!request.getAcceptsEncoded()) {
			return this.current;
		}
		String base = this.formerContents.get(request.getKnownRevision());
		if (base == null || !digest(request.getKnownRevision(), base).equals(request.getKnownDigest())) {
			return this.encodedFiles.computeIfAbsent(0L, (none) -> encodeWhole());
		}
		return this.encodedFiles.computeIfAbsent(request.getKnownRevision(),
				(baseRevision) -> encodeDifference(baseRevision, base));
	}

	private ByteString digest(long formerRevision, String content) {
		return this.formerDigests.computeIfAbsent(formerRevision,
				(revision) -> ByteString.copyFrom(Sha256.of(content)));
	}

	private RuleFile encodeWhole() {
		byte[] compressed = Compression.compress(this.current.getContent().getBytes(StandardCharsets.UTF_8));
		return RuleFile.newBuilder()
			.setRevision(this.current.getRevision())
			.setCompressedContent(ByteString.copyFrom(compressed))
			.build();
	}

	private RuleFile encodeDifference(long baseRevision, String base) {
		RuleLines.Builder lines = RuleLines.newBuilder();
		LineDifference.between(base, this.current.getContent())
			.blocks()
			.forEach((block) -> lines.addBlocks(encodeBlock(block)));
		return RuleFile.newBuilder()
			.setRevision(this.current.getRevision())
			.setDifference(RuleDifference.newBuilder()
				.setBaseRevision(baseRevision)
				.setDigest(ByteString.copyFrom(Sha256.of(this.current.getContent())))
				.setCompressedLines(ByteString.copyFrom(Compression.compress(lines.build().toByteArray()))))
			.build();
	}

	private static RuleLineBlock encodeBlock(LineDifference.Block block) {
		RuleLineBlock.Builder encoded = RuleLineBlock.newBuilder();
		if (block instanceof LineDifference.Block.Copy copy) {
			encoded.setFirstLine(copy.firstLine()).setLineCount(copy.lineCount());
		}
		else if (block instanceof LineDifference.Block.Insertion insertion) {
			encoded.setText(insertion.text());
		}
		return encoded.build();
	}

}
