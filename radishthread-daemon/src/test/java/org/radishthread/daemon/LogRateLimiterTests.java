package org.radishthread.daemon;

import java.util.logging.Level;

import org.jboss.logmanager.ExtLogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogRateLimiter} and {@link LogLineFormatter}.
 */
class LogRateLimiterTests {

	private final LogRateLimiter budget = new LogRateLimiter(100);

	private int flood(int lines, long millis) {
		int written = 0;
		for (int i = 0; i < lines; i++) {
			written += this.budget.tryTake(millis) ? 1 : 0;
		}
		return written;
	}

	@Nested
	class Flood {

		@Test
		void linesOfASecondAreBoundedAndTheOthersCounted() {
			assertThat(flood(5_000, 1_000)).isEqualTo(100);
			assertThat(LogRateLimiterTests.this.budget.takeDropped()).isEqualTo(4_900);
			assertThat(LogRateLimiterTests.this.budget.takeDropped()).isZero();
		}

		@Test
		void nextSecondHasABudgetOfItsOwn() {
			flood(5_000, 1_999);
			assertThat(flood(50, 2_000)).isEqualTo(50);
		}

		@Test
		void timeOfDayThatJumpsBackwardBlocksNothing() {
			flood(5_000, 10_000);
			assertThat(flood(50, 4_000)).isEqualTo(50);
		}

	}

	@Nested
	class Lines {

		private final LogLineFormatter formatter = new LogLineFormatter(LogRateLimiterTests.this.budget);

		private String format(String message) {
			ExtLogRecord record = new ExtLogRecord(Level.INFO, message, LogRateLimiterTests.class.getName());
			record.setMillis(1_700_000_000_005L);
			record.setLoggerName("org.radishthread.daemon.gateway.AbstractExchange");
			return this.formatter.format(record);
		}

		@Test
		void startWithTimeLevelAndTheShortNameOfTheLogger() {
			assertThat(format("event=attempt request=a")).isEqualTo(
					"time=2023-11-14T22:13:20.005Z level=INFO logger=AbstractExchange event=attempt request=a\n");
		}

		@Test
		void droppedOnesAreToldOnce() {
			flood(103, 1_000);
			assertThat(format("event=x").lines()).containsExactly(
					"time=2023-11-14T22:13:20.005Z level=INFO logger=LogOutput event=log-lines-dropped count=3",
					"time=2023-11-14T22:13:20.005Z level=INFO logger=AbstractExchange event=x");
			assertThat(format("event=y").lines()).hasSize(1);
		}

	}

}
