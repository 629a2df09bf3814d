package org.radishthread.daemon.gateway;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.ClaimVerdict;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.rules.RouteMode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Base class for tests of a {@link RoutedExchange} with two upstreams on loopback. The
 * test acts as the router, and confirms the release of claims.
 */
abstract class ExchangeTestSupport {

	static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	static final String NOT_RUN = "not-run";

	static final String WHOLE = UpstreamAnswer.WHOLE.text();

	static final String DECLINED = "HTTP/1.1 503 Busy\r\nRadishthread-Outcome: not-run\r\n"
			+ "Content-Length: 0\r\n\r\n";

	static final Duration TIMEOUT = Duration.ofSeconds(3);

	static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

	static final Duration SHORT_TIMEOUT = Duration.ofSeconds(1);

	// In which a request that is sent reaches an upstream on loopback.
	static final long QUIET_MILLIS = 300;

	static final long WAIT_SECONDS = 10;

	final ScriptedRouter router = new ScriptedRouter();

	final HttpClient client = HttpClient.newHttpClient();

	final CompletableFuture<Void> releaseRequested = new CompletableFuture<>();

	final CompletableFuture<ControlResponse> released = new CompletableFuture<>();

	@TempDir
	Path folder;

	CountingUpstream upstream;

	CountingUpstream otherUpstream;

	ExchangeServer server;

	@BeforeEach
	void startUpstreams() throws IOException {
		this.upstream = new CountingUpstream("u-1");
		this.otherUpstream = new CountingUpstream("u-2");
	}

	@AfterEach
	void stop() throws Exception {
		this.server.stop();
		this.upstream.close();
		this.otherUpstream.close();
	}

	void startServer(RouteMode mode, Duration timeout) throws Exception {
		this.server = new ExchangeServer(this.folder, this.router, (request, timeoutMillis) -> lead(request), mode,
				timeout);
		this.server.start();
	}

	// Grants each claim; its release is confirmed by the test.
	CompletableFuture<ControlResponse> lead(ControlRequest.Builder request) {
		if (request.getCommand().getBodyCase() == Command.BodyCase.RELEASE) {
			this.releaseRequested.complete(null);
			return this.released;
		}
		return CompletableFuture.completedFuture(ControlResponse.newBuilder()
			.setClaim(ClaimAnswer.newBuilder().setVerdict(ClaimVerdict.GRANTED))
			.build());
	}

	// Posts a body in chunks.
	<T> CompletableFuture<HttpResponse<T>> post(HttpResponse.BodyHandler<T> bodyHandler, String... headers) {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.server.port() + "/orders"))
			.POST(HttpRequest.BodyPublishers
				.ofInputStream(() -> new ByteArrayInputStream("order".getBytes(StandardCharsets.UTF_8))));
		if (headers.length > 0) {
			request.headers(headers);
		}
		return this.client.sendAsync(request.build(), bodyHandler);
	}

	CompletableFuture<HttpResponse<String>> post() {
		return post(HttpResponse.BodyHandlers.ofString());
	}

	CompletableFuture<HttpResponse<String>> postWithKey() {
		return post(HttpResponse.BodyHandlers.ofString(), RadishthreadHeader.IDEMPOTENCY_KEY, "key-1");
	}

	static <T> HttpResponse<T> await(CompletableFuture<HttpResponse<T>> response) throws Exception {
		return response.get(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	static RoutingEffect.Refusal refusal(RefusalReason reason) {
		return new RoutingEffect.Refusal(1, reason, 1_000);
	}

	static String outcome(HttpResponse<?> response) {
		return response.headers().firstValue(RadishthreadHeader.OUTCOME).orElse("");
	}

	static void assertNoPromise(HttpResponse<?> response) {
		assertThat(response.statusCode()).as("status of a request that may have run").isNotIn(PROMISES);
		assertThat(outcome(response)).as("outcome of a request that may have run").isNotEqualTo(NOT_RUN);
	}

	void assertNotSentTo(CountingUpstream unusedUpstream) {
		assertThat(unusedUpstream.requestCount()).as("requests that reached the upstream").isZero();
		assertThat(this.router.completions()).as("slots that were returned")
			.contains(unusedUpstream.name() + " CANCELLED");
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void awaitRequestFor(CountingUpstream upstream, long millis) {
		try {
			upstream.awaitRequestFor(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
