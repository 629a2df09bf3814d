package org.radishthread.daemon.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link BodyBuffer}.
 */
class BodyBufferTests {

	private static byte[] randomBytes(int length) {
		byte[] bytes = new byte[length];
		new Random(1).nextBytes(bytes);
		return bytes;
	}

	private static void append(BodyBuffer buffer, byte[] bytes, int pieceBytes) {
		for (int start = 0; start < bytes.length; start += pieceBytes) {
			buffer.append(ByteBuffer.wrap(bytes, start, Math.min(pieceBytes, bytes.length - start)));
		}
	}

	// Guards against bodies that take a multiple of the memory that is counted for them.
	@ParameterizedTest
	@CsvSource({ "0, 1, 0", "1, 1, 0", "16384, 4000, 0", "16384, 8191, 0", "100000, 1, 0", "100000, 70000, 0",
			"20000, 100, 16384", "16384, 5000, 16384" })
	void memoryExceedsTheBytesByLessThanABlock(int length, int pieceBytes, int expectedBytes) {
		BodyBuffer buffer = new BodyBuffer(expectedBytes);
		append(buffer, randomBytes(length), pieceBytes);
		assertThat(buffer.allocatedBytes()).isLessThan(length + BodyBuffer.BLOCK_BYTES);
		assertThat(buffer.toByteArray()).isEqualTo(randomBytes(length));
		assertThat(buffer.allocatedBytes()).isEqualTo(length);
	}

	@Test
	void expectedBytesAreNotCopied() {
		BodyBuffer buffer = new BodyBuffer(9_000);
		append(buffer, randomBytes(9_000), 1_000);
		assertThat(buffer.toByteArray()).isSameAs(buffer.toByteArray()).hasSize(9_000);
	}

	@Test
	void bytesAreAddedAfterAllWereReturned() {
		byte[] bytes = randomBytes(10_000);
		BodyBuffer buffer = new BodyBuffer();
		append(buffer, Arrays.copyOf(bytes, 6_000), 100);
		assertThat(buffer.toByteArray()).hasSize(6_000);
		append(buffer, Arrays.copyOfRange(bytes, 6_000, 10_000), 100);
		assertThat(buffer.size()).isEqualTo(10_000);
		assertThat(buffer.toByteArray()).isEqualTo(bytes);
	}

}
