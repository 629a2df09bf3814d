package org.radishthread.daemon.gateway;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.radishthread.protocol.ControlResponse;
import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.RefusalReason;
import org.radishthread.rules.RouteMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RoutedExchange}: a caller is told that its request has not run only if
 * no upstream has received it, or every one has declined it, and if none receives it
 * afterwards.
 */
class RefusedRequestTests extends ExchangeTestSupport {

	@Nested
	class RefusalDuringAnAttempt {

		// A caller got 503 or 429 "not-run" while an upstream ran its request.
		@ParameterizedTest
		@EnumSource(value = RefusalReason.class, names = { "HOME_SILENT", "NO_UPSTREAM", "CALLER_LIMIT", "ALLOTMENT" })
		void callerGetsTheResponseOfTheAttempt(RefusalReason reason) throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = router().awaitAdmission();
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			upstream().awaitRequestFor(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			callback.onRefusal(refusal(reason));
			upstream().answer(WHOLE);
			assertNoPromise(await(response));
			assertThat(await(response).body()).isEqualTo("done");
		}

		// The claim of a request was released while an upstream ran it, so that its
		// repetition could have run as well.
		@Test
		void claimIsKept() throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = postWithKey();
			RoutingCallback callback = router().awaitAdmission();
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			upstream().awaitRequestFor(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			callback.onRefusal(refusal(RefusalReason.HOME_SILENT));
			assertThat(releaseRequested()).as("release of the claim of a request that may run").isNotDone();
			upstream().answer(WHOLE);
			assertThat(await(response).body()).isEqualTo("done");
		}

		// Guards against a caller that waits until its deadline: a router that has
		// refused a request decides on it no more.
		@Test
		void callerIsRefusedOnceTheAttemptIsDeclined() throws Exception {
			startServer(RouteMode.ONCE, LONG_TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = router().awaitAdmission();
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			upstream().awaitRequestFor(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			callback.onRefusal(refusal(RefusalReason.HOME_SILENT));
			sleep(QUIET_MILLIS);
			assertThat(response).as("response to a request that may run").isNotDone();
			upstream().answer(DECLINED);
			assertThat(await(response).statusCode()).isEqualTo(503);
			assertThat(outcome(await(response))).isEqualTo(NOT_RUN);
		}

		// A retry that was under way ran at its upstream, and its caller got 503
		// "not-run".
		@Test
		void callerGetsTheResponseOfARetry() throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = router().awaitAdmission();
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			upstream().answer(DECLINED);
			router().awaitRetry();
			callback.onDispatch(otherUpstream().dispatch(AttemptKind.RETRY));
			otherUpstream().awaitRequestFor(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			callback.onRefusal(refusal(RefusalReason.HOME_SILENT));
			otherUpstream().answer(WHOLE);
			assertNoPromise(await(response));
			assertThat(await(response).body()).isEqualTo("done");
		}

		// The response of a request that had run was broken off, and its claim was
		// released.
		@Test
		void callerGetsTheWholeResponseThatIsStreamed() throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<InputStream>> response = post(HttpResponse.BodyHandlers.ofInputStream(),
					RadishthreadHeader.IDEMPOTENCY_KEY, "key-1");
			RoutingCallback callback = router().awaitAdmission();
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			String half = "x".repeat(2 * ExchangeServer.RESPONSE_BUFFER_BYTES);
			try (Socket socket = upstream().awaitRequest()) {
				String beginning = "HTTP/1.1 200 OK\r\nContent-Length: " + 2 * half.length() + "\r\n\r\n" + half;
				socket.getOutputStream().write(beginning.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(await(response).statusCode()).isEqualTo(200);
				callback.onRefusal(refusal(RefusalReason.HOME_SILENT));
				assertThat(releaseRequested()).as("release of the claim of a request that ran").isNotDone();
				socket.getOutputStream().write(half.getBytes(StandardCharsets.ISO_8859_1));
			}
			assertThat(await(response).body().readAllBytes()).hasSize(2 * half.length());
		}

		private ScriptedRouter router() {
			return RefusedRequestTests.this.router;
		}

		private CountingUpstream upstream() {
			return RefusedRequestTests.this.upstream;
		}

		private CountingUpstream otherUpstream() {
			return RefusedRequestTests.this.otherUpstream;
		}

		private CompletableFuture<Void> releaseRequested() {
			return RefusedRequestTests.this.releaseRequested;
		}

	}

	@Nested
	class EndWithinTheReportOfAnAttempt {

		// A caller got "not-run", with status 503 or 504, for a request whose
		// response was just arriving, or had just been cut.
		@ParameterizedTest
		@CsvSource({ "REFUSAL, ONCE, WHOLE", "REFUSAL, ONCE, SERVER_ERROR", "REFUSAL, ONCE, CUT",
				"REFUSAL, REPEATABLE, WHOLE", "REFUSAL, REPEATABLE, SERVER_ERROR", "REFUSAL, REPEATABLE, CUT",
				"DEADLINE, ONCE, WHOLE", "DEADLINE, ONCE, CUT", "DEADLINE, REPEATABLE, SERVER_ERROR",
				"STOP, ONCE, WHOLE", "STOP, ONCE, CUT", "STOP, REPEATABLE, SERVER_ERROR" })
		void callerIsNotToldThatItsRequestHasNotRun(RequestEnd end, RouteMode mode, UpstreamAnswer answer)
				throws Exception {
			startServer(mode, end.timeout());
			RefusedRequestTests.this.released.complete(ControlResponse.getDefaultInstance());
			CompletableFuture<HttpResponse<String>> response = postWithKey();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			RefusedRequestTests.this.router.onNextCompletion(() -> {
				end.end(callback, RefusedRequestTests.this.server);
				end.awaitEffect(response);
			});
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.answer(answer.text());
			assertNoPromise(await(response));
			assertThat(RefusedRequestTests.this.releaseRequested)
				.as("release of the claim of a request that may have run")
				.isNotDone();
		}

	}

	@Nested
	class DispatchAfterTheDecision {

		// A request was sent while its claim was released for a caller that was to be
		// told "not-run".
		@ParameterizedTest
		@EnumSource(RequestEnd.class)
		void requestIsNotSentWhileItsClaimIsReleased(RequestEnd end) throws Exception {
			startServer(RouteMode.ONCE, end.timeout());
			CompletableFuture<HttpResponse<String>> response = postWithKey();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			end.end(callback, RefusedRequestTests.this.server);
			RefusedRequestTests.this.releaseRequested.get(WAIT_SECONDS, TimeUnit.SECONDS);
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.awaitRequestFor(QUIET_MILLIS);
			RefusedRequestTests.this.released.complete(ControlResponse.getDefaultInstance());
			assertThat(outcome(await(response))).isEqualTo(NOT_RUN);
			assertNotSentTo(RefusedRequestTests.this.upstream);
		}

	}

	@Nested
	class FurtherDispatches {

		// A once-only request ran at two upstreams.
		@ParameterizedTest
		@EnumSource(AttemptKind.class)
		void onceOnlyRequestIsNotSentAgainDuringAnAttempt(AttemptKind kind) throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.awaitRequestFor(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			callback.onDispatch(RefusedRequestTests.this.otherUpstream.dispatch(kind));
			RefusedRequestTests.this.otherUpstream.awaitRequestFor(QUIET_MILLIS);
			RefusedRequestTests.this.upstream.answer(WHOLE);
			assertThat(await(response).body()).isEqualTo("done");
			assertNotSentTo(RefusedRequestTests.this.otherUpstream);
		}

		// A once-only request was sent again although its first upstream may have run
		// it.
		@ParameterizedTest
		@EnumSource(UpstreamAnswer.class)
		void onceOnlyRequestIsNotSentAgainWithinTheReportOfAnAttempt(UpstreamAnswer answer) throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			RefusedRequestTests.this.router.onNextCompletion(() -> {
				callback.onDispatch(RefusedRequestTests.this.otherUpstream.dispatch(AttemptKind.RETRY));
				awaitRequestFor(RefusedRequestTests.this.otherUpstream, QUIET_MILLIS);
			});
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.answer(answer.text());
			assertNoPromise(await(response));
			assertNotSentTo(RefusedRequestTests.this.otherUpstream);
		}

		// A once-only request was sent again after its caller got 502.
		@Test
		void onceOnlyRequestIsNotSentAgainAfterAnAttemptThatMayHaveRun() throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.answer(UpstreamAnswer.CUT.text());
			assertThat(await(response).statusCode()).isEqualTo(502);
			callback.onDispatch(RefusedRequestTests.this.otherUpstream.dispatch(AttemptKind.RETRY));
			RefusedRequestTests.this.otherUpstream.awaitRequestFor(QUIET_MILLIS);
			assertNotSentTo(RefusedRequestTests.this.otherUpstream);
		}

		// Guards against a caller that is refused although another upstream was free.
		@Test
		void onceOnlyRequestIsSentAgainAfterItWasDeclined() throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.answer(DECLINED);
			RefusedRequestTests.this.router.awaitRetry();
			callback.onDispatch(RefusedRequestTests.this.otherUpstream.dispatch(AttemptKind.RETRY));
			RefusedRequestTests.this.otherUpstream.answer(WHOLE);
			assertThat(await(response).body()).isEqualTo("done");
		}

		// Guards against a caller that waits for a slow upstream although a hedge was
		// granted.
		@Test
		void repeatableRequestIsHedged() throws Exception {
			startServer(RouteMode.REPEATABLE, TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.awaitRequestFor(TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			callback.onDispatch(RefusedRequestTests.this.otherUpstream.dispatch(AttemptKind.HEDGE));
			RefusedRequestTests.this.otherUpstream.answer(WHOLE);
			assertThat(await(response).body()).isEqualTo("done");
		}

		// Guards against a refusal that withholds "not-run" from a caller that may
		// retry.
		@Test
		void callerOfADeclinedRequestThatIsRefusedIsToldThatItHasNotRun() throws Exception {
			startServer(RouteMode.ONCE, TIMEOUT);
			RefusedRequestTests.this.released.complete(ControlResponse.getDefaultInstance());
			CompletableFuture<HttpResponse<String>> response = postWithKey();
			RoutingCallback callback = RefusedRequestTests.this.router.awaitAdmission();
			callback.onDispatch(RefusedRequestTests.this.upstream.dispatch(AttemptKind.FIRST));
			RefusedRequestTests.this.upstream.answer(DECLINED);
			RefusedRequestTests.this.router.awaitRetry();
			callback.onRefusal(refusal(RefusalReason.ATTEMPTS_USED));
			assertThat(await(response).statusCode()).isEqualTo(503);
			assertThat(outcome(await(response))).isEqualTo(NOT_RUN);
		}

	}

}
