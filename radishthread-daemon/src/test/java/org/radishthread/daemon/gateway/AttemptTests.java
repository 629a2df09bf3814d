package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.LoadReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Attempt} with a server that counts what it receives.
 */
class AttemptTests {

	private static final int QUIET_MILLIS = 300;

	private final HttpClient client = new HttpClient();

	private ServerSocket server;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.client.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.client.stop();
		this.server.close();
	}

	// Guards against a request whose key is withdrawn while a connection is established.
	@Test
	void requestThatMayNotBeSentAnyMoreFailsAsNotSent() throws Exception {
		NetworkAddress address = new NetworkAddress("127.0.0.1", this.server.getLocalPort());
		Request request = this.client.newRequest("127.0.0.1", address.port())
			.method("POST")
			.body(new BytesRequestContent(new byte[] { 1, 2, 3 }));
		RefusingListener listener = new RefusingListener();
		Attempt attempt = new Attempt("i-1", address, request, new DefaultHttpDialect(), "r-1", 1_000, true, listener);
		attempt.send();
		assertThat(listener.failure.get(5, TimeUnit.SECONDS)).isEqualTo(AttemptFailure.NOT_SENT);
		assertThat(attempt.isWithheld()).as("says nothing about the upstream").isTrue();
		assertThat(receivesNothing()).isTrue();
	}

	// Guards against connections that each keep the head and the body of their last
	// request, of which no budget knows any more.
	@Test
	void requestOfACompletedAttemptIsNotKept() throws Exception {
		serve("HTTP/1.1 200 OK\r\nRadishthread-Request: r-1\r\nContent-Length: 2\r\n\r\nab");
		NetworkAddress address = new NetworkAddress("127.0.0.1", this.server.getLocalPort());
		Request request = this.client.newRequest("127.0.0.1", address.port())
			.method("POST")
			.headers((headers) -> headers.add("X-A", "b"))
			.body(new BytesRequestContent(new byte[] { 1, 2, 3 }));
		RecordingListener listener = new RecordingListener();
		new Attempt("i-1", address, request, new DefaultHttpDialect(), "r-1", 1_000, true, listener).send();
		listener.result.get(5, TimeUnit.SECONDS);
		for (int i = 0; i < 500 && request.getHeaders().size() > 0; i++) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(request.getHeaders()).isEmpty();
		assertThat(request.getBody()).isNull();
	}

	private boolean receivesNothing() throws IOException {
		this.server.setSoTimeout(QUIET_MILLIS);
		try (Socket socket = this.server.accept()) {
			socket.setSoTimeout(QUIET_MILLIS);
			return socket.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
	}

	// Responds to the requests on the next connection in turn, and then closes it.
	private void serve(String... responses) {
		CompletableFuture.runAsync(() -> {
			try (Socket socket = this.server.accept()) {
				for (String response : responses) {
					awaitRequest(socket.getInputStream());
					socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
	}

	private static void awaitRequest(InputStream input) throws IOException {
		int lineLength = 0;
		for (int character = input.read(); character >= 0; character = input.read()) {
			if (character == '\n' && lineLength == 0) {
				return;
			}
			lineLength = (character == '\n') ? 0 : lineLength + ((character == '\r') ? 0 : 1);
		}
	}

	private String send(String requestId, boolean useNewConnection) throws Exception {
		RecordingListener listener = new RecordingListener();
		attempt(requestId, useNewConnection, new DefaultHttpDialect(), listener).send();
		return listener.result.get(5, TimeUnit.SECONDS);
	}

	private Attempt attempt(String requestId, boolean useNewConnection, HttpDialect dialect, AttemptListener listener) {
		NetworkAddress address = new NetworkAddress("127.0.0.1", this.server.getLocalPort());
		Request request = this.client.newRequest("127.0.0.1", address.port());
		return new Attempt("i-1", address, request, dialect, requestId, 1_000, useNewConnection, listener);
	}

	// The default dialect, with a load report in each response, and with responses that
	// end with their connection.
	private static HttpDialect reportingDialect() {
		HttpDialect defaults = new DefaultHttpDialect();
		return (HttpDialect) Proxy.newProxyInstance(HttpDialect.class.getClassLoader(),
				new Class<?>[] { HttpDialect.class }, (proxy, method, arguments) -> switch (method.getName()) {
					case "loadReport" -> new LoadReport(1, 0, 3, 100, false, 0, LoadReport.UNLIMITED, 0);
					case "acceptsCloseDelimitedResponses" -> true;
					default -> method.invoke(defaults, arguments);
				});
	}

	@Nested
	class RepeatedRefusals {

		private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nRadishthread-Outcome: not-run\r\n";

		private static final String END_OF_HEAD = "Content-Length: 0\r\n\r\n";

		// A faulty upstream wrote an earlier refusal once more, so that callers were told
		// "not run" of requests that it was running.
		@Test
		void refusalWithoutAnIdDoesNotCountOnAConnectionThatWasUsedBefore() throws Exception {
			serve(REFUSAL + END_OF_HEAD, REFUSAL + END_OF_HEAD);
			assertThat(send("r-1", false)).isEqualTo("failed REPORTED_NOT_RUN_WITHOUT_ID");
			assertThat(send("r-2", false)).isEqualTo("failed REPORTED_NOT_RUN_WITHOUT_ID");
			assertThat(AttemptFailure.REPORTED_NOT_RUN_WITHOUT_ID.hasNotRun()).isFalse();
		}

		@Test
		void refusalOfAnotherRequestDoesNotCount() throws Exception {
			String named = REFUSAL + "Radishthread-Request: r-1\r\n" + END_OF_HEAD;
			serve(named, named);
			assertThat(send("r-1", false)).isEqualTo("not run");
			assertThat(send("r-2", false)).isEqualTo("failed NO_COMPLETE_RESPONSE");
		}

		@Test
		void refusalThatNamesItsRequestCounts() throws Exception {
			serve(REFUSAL + "Radishthread-Request: r-1\r\n" + END_OF_HEAD,
					REFUSAL + "Radishthread-Request: r-2\r\n" + END_OF_HEAD);
			assertThat(send("r-1", false)).isEqualTo("not run");
			assertThat(send("r-2", false)).isEqualTo("not run");
		}

		// Nothing older can arrive there.
		@Test
		void refusalWithoutAnIdCountsOnANewConnection() throws Exception {
			serve(REFUSAL + END_OF_HEAD);
			assertThat(send("r-1", true)).isEqualTo("not run");
		}

		// What a stale response reports of the load is as old as the response.
		@Test
		void loadReportOfAnotherRequestIsIgnored() throws Exception {
			serve("HTTP/1.1 200 OK\r\nRadishthread-Request: r-1\r\n" + END_OF_HEAD);
			RecordingListener listener = new RecordingListener();
			Attempt attempt = attempt("r-2", false, reportingDialect(), listener);
			attempt.send();
			assertThat(listener.result.get(5, TimeUnit.SECONDS)).isEqualTo("failed NO_COMPLETE_RESPONSE");
			assertThat(attempt.loadReport()).isNull();
		}

	}

	@Nested
	class IncompleteHeads {

		// An upstream stopped in the middle of the head of its response and closed.
		// Callers got a 200 with an empty or short body, framed as complete.
		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
				"HTTP/1.1 200 OK\r\nContent-Length: 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", "HTTP/1.1 204 No Content\r\n",
				"HTTP/1.1 503 Busy\r\nRadishthread-Outcome: not-run\r\n" })
		void headThatEndsEarlyIsNoResponse(String head) throws Exception {
			for (HttpDialect dialect : List.of(new DefaultHttpDialect(), reportingDialect())) {
				serve(head);
				RecordingListener listener = new RecordingListener();
				attempt("r-1", true, dialect, listener).send();
				assertThat(listener.result.get(5, TimeUnit.SECONDS)).isEqualTo("failed NO_COMPLETE_RESPONSE");
			}
		}

	}

	static class RecordingListener implements AttemptListener {

		final CompletableFuture<String> result = new CompletableFuture<>();

		@Override
		public boolean maySend(Attempt attempt) {
			return true;
		}

		@Override
		public void onFailure(Attempt attempt, AttemptFailure attemptFailure, Throwable cause) {
			this.result.complete("failed " + attemptFailure);
		}

		@Override
		public void onCompleteResponse(Attempt attempt, Response response, byte[] body) {
			this.result.complete("complete " + response.getStatus());
		}

		@Override
		public void onNotRun(Attempt attempt, Response response, byte[] body) {
			this.result.complete("not run");
		}

		@Override
		public boolean tryReserveBuffer(int bytes) {
			return true;
		}

		@Override
		public boolean tryStartStreaming(Attempt attempt, Response response) {
			return false;
		}

		@Override
		public CompletableFuture<Boolean> isUpstreamLost(Attempt attempt) {
			return CompletableFuture.completedFuture(false);
		}

		@Override
		public void onStreamedBytes(byte[] bytes, Runnable demander) {
			demander.run();
		}

		@Override
		public void onStreamCompleted(Attempt attempt, boolean complete) {
			this.result.complete("streamed");
		}

	}

	private static final class RefusingListener extends RecordingListener {

		private final CompletableFuture<AttemptFailure> failure = new CompletableFuture<>();

		@Override
		public boolean maySend(Attempt attempt) {
			return false;
		}

		@Override
		public void onFailure(Attempt attempt, AttemptFailure attemptFailure, Throwable cause) {
			this.failure.complete(attemptFailure);
		}

		@Override
		public void onCompleteResponse(Attempt attempt, Response response, byte[] body) {
			this.failure.completeExceptionally(new AssertionError("A response arrived."));
		}

		@Override
		public void onNotRun(Attempt attempt, Response response, byte[] body) {
			this.failure.completeExceptionally(new AssertionError("A response arrived."));
		}

		@Override
		public void onStreamedBytes(byte[] bytes, Runnable demander) {
			this.failure.completeExceptionally(new AssertionError("A response arrived."));
		}

		@Override
		public void onStreamCompleted(Attempt attempt, boolean complete) {
			this.failure.completeExceptionally(new AssertionError("A response arrived."));
		}

	}

}
