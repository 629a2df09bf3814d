package org.radishthread.daemon.gateway;

import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StartupBacklog}.
 */
class StartupBacklogTests {

	private static final OptionalLong FOUR_SECONDS = OptionalLong.of(4_000);

	private final StartupBacklog<String> backlog = new StartupBacklog<>(2);

	@Nested
	class RestartOfAllInstances {

		@Test
		void requestsAreServedInOrderOnceTheInstanceHasStarted() {
			StartupBacklogTests.this.backlog.tryHold("first", FOUR_SECONDS, 0);
			StartupBacklogTests.this.backlog.tryHold("second", FOUR_SECONDS, 10);
			assertThat(StartupBacklogTests.this.backlog.takeExpired(1_300)).isEmpty();
			assertThat(StartupBacklogTests.this.backlog.takeAll()).containsExactly("first", "second");
			assertThat(StartupBacklogTests.this.backlog.isEmpty()).isTrue();
		}

		@Test
		void callersKeepTimeForAnotherAttempt() {
			StartupBacklogTests.this.backlog.tryHold("long", FOUR_SECONDS, 0);
			StartupBacklogTests.this.backlog.tryHold("short", OptionalLong.of(600), 0);
			assertThat(StartupBacklogTests.this.backlog.takeExpired(199)).isEmpty();
			assertThat(StartupBacklogTests.this.backlog.takeExpired(200)).containsExactly("short");
			assertThat(StartupBacklogTests.this.backlog.takeExpired(1_332)).isEmpty();
			assertThat(StartupBacklogTests.this.backlog.takeExpired(1_333)).containsExactly("long");
		}

		@Test
		void requestsWithoutAStatedTimeAreHeldForAShortTime() {
			StartupBacklogTests.this.backlog.tryHold("unstated", OptionalLong.empty(), 0);
			assertThat(StartupBacklogTests.this.backlog.takeExpired(1_000)).containsExactly("unstated");
		}

	}

	@Nested
	class Limits {

		@Test
		void requestsBeyondTheMaximumAreNotHeld() {
			StartupBacklogTests.this.backlog.tryHold("first", FOUR_SECONDS, 0);
			StartupBacklogTests.this.backlog.tryHold("second", FOUR_SECONDS, 0);
			assertThat(StartupBacklogTests.this.backlog.tryHold("third", FOUR_SECONDS, 0)).isFalse();
		}

		@Test
		void nothingIsHeldByDefault() {
			assertThat(new StartupBacklog<String>(0).tryHold("first", FOUR_SECONDS, 0)).isFalse();
		}

	}

}
