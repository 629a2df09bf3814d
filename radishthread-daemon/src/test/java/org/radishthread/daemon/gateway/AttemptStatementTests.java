package org.radishthread.daemon.gateway;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Attempt}: a request counts as not run only if no byte of it was sent,
 * or if the final response says so.
 */
class AttemptStatementTests {

	private static final String NOT_RUN = "Radishthread-Outcome: not-run\r\n";

	private final HttpClient client = new HttpClient();

	private ServerSocket server;

	@BeforeEach
	void start() throws Exception {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.client.start();
		this.client.getProtocolHandlers().clear();
	}

	@AfterEach
	void stop() throws Exception {
		this.client.stop();
		this.server.close();
	}

	private Attempt attempt(AttemptListener listener, byte[] content) {
		NetworkAddress address = new NetworkAddress("127.0.0.1", this.server.getLocalPort());
		Request request = this.client.newRequest("127.0.0.1", address.port())
			.method("POST")
			.body(new BytesRequestContent(content));
		return new Attempt("i-1", address, request, new DefaultHttpDialect(), "r-1", 1_000, true, listener);
	}

	private String answer(String text, byte[] content) throws Exception {
		CompletableFuture<Void> served = CompletableFuture.runAsync(() -> {
			try (Socket socket = this.server.accept()) {
				socket.getInputStream().read();
				socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
				socket.shutdownOutput();
				drain(socket.getInputStream());
			}
			catch (Exception ex) {
				// The attempt has ended.
			}
		});
		AttemptTests.RecordingListener listener = new AttemptTests.RecordingListener();
		attempt(listener, content).send();
		String result = listener.result.get(10, TimeUnit.SECONDS);
		this.client.stop();
		served.get(10, TimeUnit.SECONDS);
		return result;
	}

	private static void drain(InputStream input) throws Exception {
		byte[] buffer = new byte[8_192];
		while (input.read(buffer) >= 0) {
			continue;
		}
	}

	// A statement in an interim response or in trailers was taken for one of the
	// response.
	@ParameterizedTest
	@ValueSource(strings = {
			"HTTP/1.1 103 Early Hints\r\n" + NOT_RUN + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 100 Continue\r\n" + NOT_RUN + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + NOT_RUN + "\r\n",
			"HTTP/1.1 103 Early Hints\r\n" + NOT_RUN + "\r\n",
			"HTTP/1.1 503 Busy\r\n" + NOT_RUN + "Content-Length: 9\r\n\r\ncut", "HTTP/1.1 503 Busy\r\n" + NOT_RUN })
	void statementThatIsNotOfTheWholeFinalResponseDoesNotCount(String text) throws Exception {
		assertThat(answer(text, new byte[] { 1 })).isIn("complete 200", "failed NO_COMPLETE_RESPONSE");
	}

	// Records what happens with a statement that arrives before the request is sent
	// whole.
	@Test
	void earlyStatementDoesNotHang() throws Exception {
		assertThat(answer("HTTP/1.1 503 Busy\r\n" + NOT_RUN + "Content-Length: 0\r\n\r\n", new byte[8_000_000]))
			.isIn("not run", "failed NO_COMPLETE_RESPONSE");
	}

	// The HTTP client sends a request although a listener of its begin has thrown, and
	// its failure was then reported as not sent.
	@Test
	void requestThatIsSentAfterAnExceptionIsNotReportedAsNotSent() throws Exception {
		CompletableFuture<Boolean> received = CompletableFuture.supplyAsync(() -> {
			try (Socket socket = this.server.accept()) {
				return socket.getInputStream().read() >= 0;
			}
			catch (Exception ex) {
				return false;
			}
		});
		CompletableFuture<AttemptFailure> failure = new CompletableFuture<>();
		attempt(new ThrowingListener(failure), new byte[] { 1 }).send();
		AttemptFailure reported = failure.get(10, TimeUnit.SECONDS);
		this.client.stop();
		assertThat(reported.hasNotRun()).as("reported as %s although the upstream received it", reported)
			.isNotEqualTo(received.get(10, TimeUnit.SECONDS));
	}

	private static final class ThrowingListener extends AttemptTests.RecordingListener {

		private final CompletableFuture<AttemptFailure> failure;

		private ThrowingListener(CompletableFuture<AttemptFailure> failure) {
			this.failure = failure;
		}

		@Override
		public boolean maySend(Attempt attempt) {
			throw new IllegalStateException("The check failed.");
		}

		@Override
		public void onFailure(Attempt attempt, AttemptFailure attemptFailure, Throwable cause) {
			this.failure.complete(attemptFailure);
		}

	}

}
