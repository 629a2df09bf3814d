package org.radishthread.daemon.gateway;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.daemon.gateway.ExchangeState.AttemptEnd;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ExchangeState}.
 */
class ExchangeStateTests {

	private final ExchangeState<String> onceOnly = new ExchangeState<>(false);

	private final ExchangeState<String> repeatable = new ExchangeState<>(true);

	// Guards against requests that ran after their callers had been told that they never
	// would.
	@Nested
	class CrossingRefusals {

		private final ExchangeState<String> state = ExchangeStateTests.this.onceOnly;

		@Test
		void noAttemptBeginsAfterTheRequestIsRefused() {
			assertThat(this.state.tryCompleteIdle()).isEqualTo(RequestOutcome.NOT_RUN);
			assertThat(this.state.tryBegin("a")).isFalse();
			assertThat(this.state.begunAttempts()).isZero();
		}

		@Test
		void refusalDoesNotEndARequestWithAnAttemptInProgress() {
			assertThat(this.state.tryBegin("a")).isTrue();
			assertThat(this.state.tryCompleteIdle()).isNull();
			assertThat(this.state.isCompleted()).isFalse();
			assertThat(this.state.endWithResponse("a")).isTrue();
		}

		@Test
		void requestWithAnAttemptInProgressMayHaveRunAtItsDeadline() {
			this.state.tryBegin("a");
			assertThat(this.state.tryComplete()).isEqualTo(RequestOutcome.UNKNOWN);
		}

		@Test
		void requestWhoseResponseIsWholeIsNotCompletedOtherwise() {
			this.state.tryBegin("a");
			assertThat(this.state.endWithResponse("a")).isTrue();
			assertThat(this.state.tryComplete()).isNull();
			assertThat(this.state.tryCompleteIdle()).isNull();
		}

		@Test
		void failureThatMayHaveRunIsKnownFromTheEndOfTheAttempt() {
			this.state.tryBegin("a");
			assertThat(this.state.endWithFailure("a", true)).isEqualTo(AttemptEnd.DECISIVE);
			assertThat(this.state.tryCompleteIdle()).isEqualTo(RequestOutcome.UNKNOWN);
		}

		@Test
		void requestThatAllAttemptsDeclinedHasNotRun() {
			this.state.tryBegin("a");
			this.state.endWithFailure("a", false);
			this.state.tryBegin("b");
			this.state.endWithFailure("b", false);
			assertThat(this.state.tryCompleteIdle()).isEqualTo(RequestOutcome.NOT_RUN);
		}

		@Test
		void requestIsCompletedOnce() {
			assertThat(this.state.tryComplete()).isNotNull();
			assertThat(this.state.tryComplete()).isNull();
		}

	}

	@Nested
	class OnceOnlyRequests {

		private final ExchangeState<String> state = ExchangeStateTests.this.onceOnly;

		@Test
		void haveOneAttemptAtATime() {
			assertThat(this.state.tryBegin("a")).isTrue();
			assertThat(this.state.tryBegin("b")).isFalse();
			this.state.endWithFailure("a", false);
			assertThat(this.state.tryBegin("b")).isTrue();
		}

		@Test
		void haveNoFurtherAttemptOnceOneMayHaveRun() {
			this.state.tryBegin("a");
			this.state.endWithFailure("a", true);
			assertThat(this.state.tryBegin("b")).isFalse();
		}

	}

	@Nested
	class RepeatableRequests {

		private final ExchangeState<String> state = ExchangeStateTests.this.repeatable;

		@Test
		void mayHaveAttemptsInParallel() {
			assertThat(this.state.tryBegin("a")).isTrue();
			assertThat(this.state.tryBegin("b")).isTrue();
			assertThat(this.state.endWithFailure("a", true)).isEqualTo(AttemptEnd.OTHERS_IN_PROGRESS);
			assertThat(this.state.endWithFailure("b", false)).isEqualTo(AttemptEnd.DECISIVE);
		}

		@Test
		void haveNoFurtherAttemptOnceAResponseIsSelected() {
			this.state.tryBegin("a");
			this.state.tryBegin("b");
			assertThat(this.state.trySelect("a")).isTrue();
			assertThat(this.state.trySelect("b")).isFalse();
			assertThat(this.state.tryBegin("c")).isFalse();
			assertThat(this.state.endWithResponse("b")).isFalse();
			assertThat(this.state.endWithResponse("a")).isTrue();
		}

	}

	@Nested
	class Closing {

		private final ExchangeState<String> state = ExchangeStateTests.this.repeatable;

		// Guards against completions that the router is told after the request is closed.
		@Test
		void followsTheReportsOfAllAttempts() {
			this.state.tryBegin("a");
			this.state.endWithFailure("a", true);
			this.state.tryComplete();
			assertThat(this.state.tryClose()).isFalse();
			this.state.recordReport("a");
			assertThat(this.state.tryClose()).isTrue();
			assertThat(this.state.tryClose()).isFalse();
		}

		@Test
		void followsTheCompletion() {
			assertThat(this.state.tryClose()).isFalse();
			this.state.tryComplete();
			assertThat(this.state.tryClose()).isTrue();
		}

	}

}
