package org.radishthread.membership;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

import org.radishthread.kernel.Assert;
import org.radishthread.kernel.Compression;
import org.radishthread.kernel.LineDifference;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.RuleDifference;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleLineBlock;
import org.radishthread.protocol.RuleLines;

/**
 * Decodes rule files that peers sent encoded, see {@link RuleFileEncoder}.
 */
final class RuleFileDecoder {

	// Far above the size up to which rule files are valid, to bound the memory used for
	// damaged ones.
	private static final int MAXIMUM_CONTENT_BYTES = 16 * 1024 * 1024;

	private RuleFileDecoder() {
	}

	// Returns the file with its plain content and without the document, which only
	// readers of the control group need. Throws an IllegalArgumentException if the bytes
	// are damaged, or if the file is a difference from other rules than the given ones.
	static RuleFile decode(RuleFile received, RuleFile base) {
		RuleFile.Builder decoded = RuleFile.newBuilder().setRevision(received.getRevision());
		if (received.hasDifference()) {
			return decoded.setContent(applyDifference(received.getDifference(), base)).build();
		}
		if (!received.getCompressedContent().isEmpty()) {
			return decoded.setContent(new String(decompress(received.getCompressedContent()), StandardCharsets.UTF_8))
				.build();
		}
		return decoded.setContent(received.getContent()).build();
	}

	private static String applyDifference(RuleDifference difference, RuleFile base) {
		Assert.isTrue(difference.getBaseRevision() == base.getRevision(), "Difference is from revision "
				+ difference.getBaseRevision() + "; revision " + base.getRevision() + " is applied.");
		String content = parseLines(difference.getCompressedLines()).applyTo(base.getContent());
		Assert.isTrue(Arrays.equals(Sha256.of(content), difference.getDigest().toByteArray()),
				"Result of the difference from revision " + difference.getBaseRevision()
						+ " does not have the expected digest.");
		return content;
	}

	private static LineDifference parseLines(ByteString compressedLines) {
		try {
			List<LineDifference.Block> blocks = RuleLines.parseFrom(decompress(compressedLines))
				.getBlocksList()
				.stream()
				.map(RuleFileDecoder::toBlock)
				.toList();
			return new LineDifference(blocks);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("Lines of the difference are damaged.", ex);
		}
	}

	private static LineDifference.Block toBlock(RuleLineBlock block) {
		return (block.getLineCount() > 0) ? new LineDifference.Block.Copy(block.getFirstLine(), block.getLineCount())
				: new LineDifference.Block.Insertion(block.getText());
	}

	private static byte[] decompress(ByteString compressed) {
		return Compression.decompress(compressed.toByteArray(), MAXIMUM_CONTENT_BYTES);
	}

}
