package org.radishthread.daemon.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;

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
