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
	void callersThatAreRefusedTogetherComeBackAtDifferentMoments() {
		Set<Long> moments = new HashSet<>();
		for (int number = 0; number < 100; number++) {
			moments.add(RetryAfter.delayMillis(1_000, 60_000, number));
		}
		assertThat(moments).hasSizeGreaterThan(90).allMatch((millis) -> millis >= 500 && millis <= 1_500);
	}

	@Test
	void callersWithLittleTimeComeBackWithinAThirdOfIt() {
		for (int number = 0; number < 100; number++) {
			assertThat(RetryAfter.delayMillis(1_000, 800, number)).isLessThan(800 / 3);
		}
	}

	@Test
	void nobodyComesBackAtOnce() {
		assertThat(RetryAfter.delayMillis(0, 0, 7)).isGreaterThanOrEqualTo(50);
	}

}
