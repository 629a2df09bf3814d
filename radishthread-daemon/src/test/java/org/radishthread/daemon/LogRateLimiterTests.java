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

	private final LogRateLimiter rateLimiter = new LogRateLimiter(100);

	private int writeLines(int lines, long millis) {
		int written = 0;
		for (int i = 0; i < lines; i++) {
			written += this.rateLimiter.tryAcquire(millis) ? 1 : 0;
		}
		return written;
	}

	@Nested
	class Limit {

		@Test
		void linesBeyondTheLimitAreDroppedAndCounted() {
			assertThat(writeLines(5_000, 1_000)).isEqualTo(100);
			assertThat(LogRateLimiterTests.this.rateLimiter.getAndResetDropped()).isEqualTo(4_900);
			assertThat(LogRateLimiterTests.this.rateLimiter.getAndResetDropped()).isZero();
		}

		@Test
		void limitAppliesToEachSecondSeparately() {
			writeLines(5_000, 1_999);
			assertThat(writeLines(50, 2_000)).isEqualTo(50);
		}

		@Test
		void clockThatJumpsBackwardDoesNotBlockLines() {
			writeLines(5_000, 10_000);
			assertThat(writeLines(50, 4_000)).isEqualTo(50);
		}

	}

	@Nested
	class Format {

		private final LogLineFormatter formatter = new LogLineFormatter(LogRateLimiterTests.this.rateLimiter);

		private String format(String message) {
			ExtLogRecord record = new ExtLogRecord(Level.INFO, message, LogRateLimiterTests.class.getName());
			record.setMillis(1_700_000_000_005L);
			record.setLoggerName("org.radishthread.daemon.gateway.AbstractExchange");
			return this.formatter.format(record);
		}

		@Test
		void lineStartsWithTimeLevelAndShortLoggerName() {
			assertThat(format("event=attempt request=a")).isEqualTo(
					"time=2023-11-14T22:13:20.005Z level=INFO logger=AbstractExchange event=attempt request=a\n");
		}

		@Test
		void droppedLinesAreReportedOnce() {
			writeLines(103, 1_000);
			assertThat(format("event=x").lines()).containsExactly(
					"time=2023-11-14T22:13:20.005Z level=INFO logger=LogOutput event=log-lines-dropped count=3",
					"time=2023-11-14T22:13:20.005Z level=INFO logger=AbstractExchange event=x");
			assertThat(format("event=y").lines()).hasSize(1);
		}

	}

}
