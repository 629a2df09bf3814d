package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;

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

	private static final class RefusingListener implements AttemptListener {

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
		public boolean tryStartStreaming(Attempt attempt, Response response) {
			return false;
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
