package org.radishthread.routing;

import java.time.Duration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CrashHistory}.
 */
class CrashHistoryTests {

	private static final int MAXIMUM_ENTRIES = 4;

	private static final Duration DAY = Duration.ofHours(24);

	private final CrashHistory history = new CrashHistory(MAXIMUM_ENTRIES);

	private long nowNanos = 1_000_000_000;

	private boolean crash(String digest, String upstream, boolean alone) {
		return this.history.record(new CrashRecord(digest, upstream, 1, alone, this.nowNanos), this.nowNanos);
	}

	private Duration quarantine(String digest) {
		return Duration.ofNanos(this.history.quarantineNanos(digest, this.nowNanos));
	}

	@Nested
	class Quarantines {

		@Test
		void crashesWithCompanyDoNotQuarantine() {
			for (int i = 0; i < 8; i++) {
				crash("beside", "upstream-" + i, false);
			}
			assertThat(quarantine("beside")).isZero();
			assertThat(CrashHistoryTests.this.history.crashCount("beside")).isEqualTo(8);
		}

		@Test
		void oneCrashDoesNotQuarantine() {
			crash("once", "upstream-0", true);
			assertThat(quarantine("once")).isZero();
		}

		@Test
		void quarantinesGrow() {
			crash("guilty", "upstream-0", false);
			crash("guilty", "upstream-1", true);
			assertThat(quarantine("guilty")).isEqualTo(Duration.ofSeconds(30));
			CrashHistoryTests.this.nowNanos += Duration.ofSeconds(30).toNanos();
			assertThat(quarantine("guilty")).isZero();
			crash("guilty", "upstream-2", true);
			assertThat(quarantine("guilty")).isEqualTo(Duration.ofMinutes(5));
			CrashHistoryTests.this.nowNanos += Duration.ofMinutes(5).toNanos();
			crash("guilty", "upstream-3", true);
			assertThat(quarantine("guilty")).isEqualTo(DAY);
		}

		@Test
		void sameCrashCountsOnce() {
			assertThat(crash("guilty", "upstream-0", true)).isTrue();
			assertThat(crash("guilty", "upstream-0", true)).isFalse();
			assertThat(CrashHistoryTests.this.history.crashCount("guilty")).isOne();
		}

		@Test
		void successClearsEarlierCrashesOnly() {
			crash("innocent", "upstream-0", false);
			long completedAtNanos = CrashHistoryTests.this.nowNanos + 1;
			CrashHistoryTests.this.nowNanos += 2;
			crash("innocent", "upstream-1", true);
			assertThat(CrashHistoryTests.this.history.clear("innocent", completedAtNanos)).isTrue();
			assertThat(CrashHistoryTests.this.history.crashCount("innocent")).isOne();
			assertThat(CrashHistoryTests.this.history
				.record(new CrashRecord("innocent", "upstream-0", 1, false, completedAtNanos - 1), completedAtNanos))
				.isFalse();
		}

	}

	@Nested
	class Memory {

		@Test
		void manyOtherRequestsDoNotDisplaceOneWithSeveralCrashes() {
			crash("guilty", "upstream-0", false);
			crash("guilty", "upstream-1", true);
			for (int i = 0; i < 100; i++) {
				CrashHistoryTests.this.nowNanos++;
				crash("other-" + i, "upstream-2", false);
			}
			assertThat(CrashHistoryTests.this.history.crashCount("guilty")).isEqualTo(2);
			assertThat(CrashHistoryTests.this.history.crashes()).hasSize(MAXIMUM_ENTRIES + 1);
		}

		@Test
		void requestsWithoutDigestAreNotRemembered() {
			assertThat(crash("", "upstream-0", true)).isFalse();
		}

		@Test
		void crashesAreForgottenAfterTheLongestQuarantine() {
			crash("guilty", "upstream-0", true);
			CrashHistoryTests.this.nowNanos += DAY.plusHours(2).toNanos();
			crash("other", "upstream-1", true);
			assertThat(CrashHistoryTests.this.history.crashCount("guilty")).isZero();
		}

	}

}
