package org.radishthread.routing;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReturnTime}.
 */
class ReturnTimeTests {

	@Test
	void callersThatAreRefusedTogetherComeBackAtDifferentMoments() {
		Set<Long> moments = new HashSet<>();
		for (int number = 0; number < 100; number++) {
			moments.add(ReturnTime.millis(1_000, 60_000, number));
		}
		assertThat(moments).hasSizeGreaterThan(90).allMatch((millis) -> millis >= 500 && millis <= 1_500);
	}

	@Test
	void callersWithLittleTimeComeBackWithinAThirdOfIt() {
		for (int number = 0; number < 100; number++) {
			assertThat(ReturnTime.millis(1_000, 800, number)).isLessThan(800 / 3);
		}
	}

	@Test
	void nobodyComesBackAtOnce() {
		assertThat(ReturnTime.millis(0, 0, 7)).isGreaterThanOrEqualTo(50);
	}

}
