package org.radishthread.daemon.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.AttemptResult;
import org.radishthread.rules.WorkspaceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AllottedRequest}: a token is given back only if the request certainly
 * did not run.
 */
class AllottedRequestTests {

	private final AllottedRequest request = new AllottedRequest(new WorkspaceRule("marlow", List.of(), 5, 10, null),
			() -> {
			}, (refusal) -> {
			});

	@Test
	void requestThatWasNeverSentHasNotRun() {
		assertThat(this.request.grant(0)).isTrue();
		assertThat(this.request.close()).isTrue();
		assertThat(this.request.hasNotRun()).isTrue();
	}

	@Test
	void requestThatWasDeclinedAndThenNotSentAgainHasNotRun() {
		this.request.grant(0);
		attempt(AttemptResult.UNREACHABLE);
		attempt(AttemptResult.SHED);
		assertThat(this.request.hasNotRun()).isTrue();
	}

	// Guards against a token that is given back for a request that ran: the upstream
	// declined a request but did not say which.
	@Test
	void requestThatWasDeclinedWithoutItsIdMayHaveRun() {
		this.request.grant(0);
		attempt(AttemptCompletion.of(AttemptFailure.REPORTED_NOT_RUN_WITHOUT_ID, false).result());
		assertThat(this.request.hasNotRun()).isFalse();
	}

	// Guards against statements that differ: what the caller is told, what the home is
	// told and what decides on the token.
	@ParameterizedTest
	@EnumSource
	void requestHasNotRunOnlyIfTheFailureSaysSo(AttemptFailure failure) {
		AttemptResult result = AttemptCompletion.of(failure, false).result();
		assertThat(result.hasNotRun()).isEqualTo(failure.hasNotRun());
	}

	@Test
	void requestOfWhichAnAttemptWasSentMayHaveRun() {
		this.request.grant(0);
		attempt(AttemptResult.CANCELLED);
		attempt(AttemptResult.UNREACHABLE);
		assertThat(this.request.hasNotRun()).isFalse();
	}

	@Test
	void requestWithAnOpenAttemptMayHaveRun() {
		this.request.grant(0);
		this.request.recordDispatch();
		assertThat(this.request.hasNotRun()).isFalse();
	}

	@Test
	void requestThatWasClosedWhileItWaitedIsNotGranted() {
		assertThat(this.request.close()).isFalse();
		assertThat(this.request.grant(0)).isFalse();
	}

	private void attempt(AttemptResult result) {
		this.request.recordDispatch();
		this.request.recordResult(result);
	}

}
