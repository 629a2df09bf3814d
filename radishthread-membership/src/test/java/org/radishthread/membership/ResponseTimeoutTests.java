package org.radishthread.membership;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ResponseTimeout}.
 */
class ResponseTimeoutTests {

	private static final long APPLY_MILLIS = 2_000;

	private static final long INTERVAL_MILLIS = 500;

	private final ResponseTimeout timeout = new ResponseTimeout(APPLY_MILLIS, INTERVAL_MILLIS);

	@Nested
	class Silence {

		@Test
		void firstTimeoutIsHalfOfTheTimeToApplyRules() {
			assertThat(ResponseTimeoutTests.this.timeout.millis()).isEqualTo(APPLY_MILLIS / 2);
		}

		// Guards against a timeout that doubles with each silence, until a gateway
		// applies its former rules for longer than they may be applied.
		@Test
		void silencesWithResponsesBetweenThemDoNotAddUp() {
			for (int i = 0; i < 4; i++) {
				ResponseTimeoutTests.this.timeout.recordSilence();
				ResponseTimeoutTests.this.timeout.recordResponse(2);
				assertThat(ResponseTimeoutTests.this.timeout.millis()).isEqualTo(APPLY_MILLIS / 2);
			}
		}

		@Test
		void timeToNoticeASilenceFitsTheTimeToApplyRules() {
			for (int i = 0; i < 4; i++) {
				ResponseTimeoutTests.this.timeout.recordSilence();
			}
			assertThat(ResponseTimeoutTests.this.timeout.millis()).isLessThanOrEqualTo(APPLY_MILLIS - INTERVAL_MILLIS);
		}

	}

	@Nested
	class Slowness {

		@Test
		void slowResponseMakesTheTimeoutLonger() {
			ResponseTimeoutTests.this.timeout.recordResponse(700);
			assertThat(ResponseTimeoutTests.this.timeout.millis()).isEqualTo(1_400);
		}

		@Test
		void timeoutIsBoundedWhateverTheResponsesTake() {
			ResponseTimeoutTests.this.timeout.recordResponse(30_000);
			assertThat(ResponseTimeoutTests.this.timeout.millis()).isEqualTo(APPLY_MILLIS - INTERVAL_MILLIS);
		}

		@Test
		void fastResponsesTakeItBack() {
			ResponseTimeoutTests.this.timeout.recordResponse(3_000);
			for (int i = 0; i < 4; i++) {
				ResponseTimeoutTests.this.timeout.recordResponse(2);
			}
			assertThat(ResponseTimeoutTests.this.timeout.millis()).isEqualTo(APPLY_MILLIS / 2);
		}

	}

	@Nested
	class Settings {

		@Test
		void timeoutsFollowAShorterTimeToApplyRules() {
			ResponseTimeout shortTimeout = new ResponseTimeout(1_500, INTERVAL_MILLIS);
			assertThat(shortTimeout.millis()).isEqualTo(750);
			shortTimeout.recordResponse(30_000);
			assertThat(shortTimeout.millis()).isEqualTo(1_000);
		}

	}

}
