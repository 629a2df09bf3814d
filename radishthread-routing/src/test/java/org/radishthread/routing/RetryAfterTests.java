package org.radishthread.routing;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetryAfter}.
 */
class RetryAfterTests {

	@Test
	void simultaneousRefusalsGetDifferentDelays() {
		Set<Long> delays = new HashSet<>();
		for (int sequenceNumber = 0; sequenceNumber < 100; sequenceNumber++) {
			delays.add(RetryAfter.delayMillis(1_000, 60_000, sequenceNumber));
		}
		assertThat(delays).hasSizeGreaterThan(90).allMatch((delayMillis) -> delayMillis >= 500 && delayMillis <= 1_500);
	}

	@Test
	void delayIsBelowAThirdOfTheRemainingTime() {
		for (int sequenceNumber = 0; sequenceNumber < 100; sequenceNumber++) {
			assertThat(RetryAfter.delayMillis(1_000, 800, sequenceNumber)).isLessThan(800 / 3);
		}
	}

	@Test
	void delayIsAtLeastFiftyMillis() {
		assertThat(RetryAfter.delayMillis(0, 0, 7)).isGreaterThanOrEqualTo(50);
	}

}
