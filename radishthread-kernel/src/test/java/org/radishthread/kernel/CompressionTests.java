package org.radishthread.kernel;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link Compression}.
 */
class CompressionTests {

	private static final int MAXIMUM_BYTES = 1_000_000;

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 100, 10_000 })
	void restoresTheBytes(int repetitions) {
		byte[] bytes = "route tiles".repeat(repetitions).getBytes(StandardCharsets.UTF_8);
		assertThat(Compression.decompress(Compression.compress(bytes), MAXIMUM_BYTES)).isEqualTo(bytes);
		assertThat(Compression.decompress(Compression.compressFast(bytes), MAXIMUM_BYTES)).isEqualTo(bytes);
	}

	@Test
	void contentAboveTheMaximumIsRefused() {
		byte[] compressed = Compression.compress(new byte[MAXIMUM_BYTES + 1]);
		assertThatIllegalArgumentException().isThrownBy(() -> Compression.decompress(compressed, MAXIMUM_BYTES))
			.withMessageContaining("more than the maximum of 1000000 bytes");
	}

	@Test
	void truncatedBytesAreRefused() {
		byte[] compressed = Compression.compress("route tiles".repeat(100).getBytes(StandardCharsets.UTF_8));
		assertThatIllegalArgumentException()
			.isThrownBy(() -> Compression.decompress(Arrays.copyOf(compressed, compressed.length - 5), MAXIMUM_BYTES));
	}

	@Test
	void damagedBytesAreRefused() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> Compression.decompress(new byte[] { 1, 2, 3 }, MAXIMUM_BYTES))
			.withMessageContaining("damaged");
	}

}
