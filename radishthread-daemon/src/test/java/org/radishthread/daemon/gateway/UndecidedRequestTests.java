package org.radishthread.daemon.gateway;

import java.net.http.HttpResponse;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.rules.RouteMode;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests for {@link RoutedExchange}: a request without an attempt in progress is always
 * decided upon by someone, and a completed request is always answered.
 */
class UndecidedRequestTests extends ExchangeTestSupport {

	private void startServerWith(RequestRouter requestRouter) throws Exception {
		this.server = new ExchangeServer(this.folder, requestRouter, (request, timeoutMillis) -> lead(request),
				RouteMode.ONCE, LONG_TIMEOUT);
		this.server.start();
	}

	private ScriptedRouter router() {
		return this.router;
	}

	private ExchangeServer server() {
		return this.server;
	}

	private CountingUpstream upstream() {
		return this.upstream;
	}

	@Nested
	class FailureOfTheRouter {

		// The router carries out decisions on other requests while it is told the end of
		// an attempt. When one of these failed, the caller of the whole response got no
		// answer, not even at its deadline.
		@Test
		void callerIsAnswered() throws Exception {
			startServer(RouteMode.ONCE, SHORT_TIMEOUT);
			CompletableFuture<HttpResponse<String>> response = post();
			RoutingCallback callback = router().awaitAdmission();
			router().onNextCompletion(() -> {
				throw new IllegalStateException("Another request cannot be dispatched.");
			});
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			upstream().answer(WHOLE);
			assertThat(response).as("response of the upstream, or a problem")
				.succeedsWithin(3 * SHORT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}

		// The request stayed open at the router, with its slot.
		@Test
		void requestIsClosed() throws Exception {
			startServer(RouteMode.ONCE, SHORT_TIMEOUT);
			post();
			RoutingCallback callback = router().awaitAdmission();
			router().onNextCompletion(() -> {
				throw new IllegalStateException("Another request cannot be dispatched.");
			});
			callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			upstream().answer(WHOLE);
			assertThatCode(() -> router().awaitClose()).doesNotThrowAnyException();
		}

	}

	@Nested
	class GrantThatCrossesTheEnd {

		// A grant that was decided just before the request ended was returned to the
		// local router, which does not know the request, and the exception closed the
		// connection of the home.
		@Test
		void endOfAnAttemptOfAnUnknownRequestIsIgnored() throws Exception {
			startServer(RouteMode.ONCE, SHORT_TIMEOUT);
			post();
			RoutedExchange exchange = server().awaitExchange();
			RequestRouter realRouter = exchange.context().router("orders");
			assertThatCode(() -> realRouter.completeAttempt(exchange.requestNumber(), upstream().name(),
					AttemptResult.CANCELLED, null))
				.doesNotThrowAnyException();
		}

	}

	@Nested
	class UnusableClient {

		// An attempt that could not even be handed to the HTTP client stayed in progress.
		@Test
		void attemptThatCannotBeHandedOverFails() throws Exception {
			startServer(RouteMode.ONCE, LONG_TIMEOUT);
			post();
			RoutedExchange exchange = server().awaitExchange();
			RoutingCallback callback = router().awaitAdmission();
			exchange.context().clients().stop();
			try {
				callback.onDispatch(upstream().dispatch(AttemptKind.FIRST));
			}
			catch (RuntimeException ex) {
				// The state of the request counts.
			}
			sleep(QUIET_MILLIS);
			assertThat(exchange.activeAttemptCount()).as("attempts in progress").isZero();
		}

	}

	@Nested
	class EndDuringAdmission {

		// A request that ended just before its router took it up was never closed there,
		// and counted as an open request of its caller for ever.
		@Test
		void requestIsClosedAfterItsAdmission() throws Exception {
			LateRouter lateRouter = new LateRouter();
			startServerWith(lateRouter);
			lateRouter.onAdmission = server()::stopInstance;
			post();
			assertThat(lateRouter.events.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("closed");
			assertThat(lateRouter.events.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("admitted");
			assertThat(lateRouter.events.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("closed");
		}

	}

	/**
	 * A router that takes a request up only after it has ended.
	 */
	private static final class LateRouter implements RequestRouter {

		private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

		private final CompletableFuture<Void> closed = new CompletableFuture<>();

		private volatile Runnable onAdmission = () -> {
		};

		@Override
		public void admit(RoutingRequest request, RoutingCallback callback) {
			this.onAdmission.run();
			this.closed.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
			this.events.add("admitted");
		}

		@Override
		public void completeAttempt(long requestId, String upstream, AttemptResult result,
				@Nullable LoadReport loadReport) {
			// No attempt is made.
		}

		@Override
		public void retry(long requestId) {
			// No attempt is made.
		}

		@Override
		public void hedge(long requestId) {
			// No attempt is made.
		}

		@Override
		public void close(long requestId) {
			this.events.add("closed");
			this.closed.complete(null);
		}

	}

}
