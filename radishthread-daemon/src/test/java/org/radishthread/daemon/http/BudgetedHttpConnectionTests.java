package org.radishthread.daemon.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link BudgetedHttpConnection} and {@link ConnectionLimit} with a server and
 * sockets.
 */
class BudgetedHttpConnectionTests {

	private static final int READ_TIMEOUT_MILLIS = 5_000;

	private static final int MAXIMUM_CONNECTIONS = 3;

	private static final String HEAD = "POST / HTTP/1.1\r\nHost: a\r\n";

	private final BufferBudget budget = new BufferBudget(100_000);

	private final Server server = new Server();

	private ServerConnector connector;

	// The connection that got a response before its message was complete.
	private final CompletableFuture<BudgetedHttpConnection> earlyConnection = new CompletableFuture<>();

	@BeforeEach
	void start() throws Exception {
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setRequestHeaderSize(64 * 1_024);
		this.connector = new ServerConnector(this.server, 1, 1,
				new BudgetedHttpConnectionFactory("test", configuration, this.budget, MAXIMUM_CONNECTIONS));
		this.connector.setHost("127.0.0.1");
		this.server.addConnector(this.connector);
		this.server.setHandler(new BodyReadingHandler());
		this.server.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.server.stop();
	}

	private Caller connect() throws IOException {
		return new Caller(this.connector.getLocalPort());
	}

	private void awaitEmptyBudget() throws InterruptedException {
		for (int i = 0; i < 500 && this.budget.reservedBytes() > 0; i++) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(this.budget.reservedBytes()).isZero();
	}

	// Guards against processes that ran out of memory by heads of legal size.
	@Nested
	class Heads {

		@Test
		void headOfManyLinesIsRefusedBeyondTheBudget() throws Exception {
			try (Caller caller = connect()) {
				caller.send(HEAD + "t:\r\n".repeat(1_000));
				assertThat(caller.readLine()).startsWith("HTTP/1.1 431 ");
				assertThat(caller.readToEnd()).doesNotContain("HTTP/1.1");
				awaitEmptyBudget();
			}
		}

		@Test
		void lineWithoutEndIsRefusedBeyondTheBudget() throws Exception {
			try (Caller first = connect(); Caller second = connect()) {
				first.send(HEAD + "t: " + "x".repeat(60_000));
				second.send(HEAD + "t: " + "x".repeat(60_000));
				assertThat(first.isRefused() || second.isRefused()).isTrue();
			}
			awaitEmptyBudget();
		}

		@Test
		void headWithinTheBudgetIsServedAgainAndAgain() throws Exception {
			try (Caller caller = connect()) {
				for (int i = 0; i < 20; i++) {
					caller.send(HEAD + "t:\r\n".repeat(300) + "Content-Length: 0\r\n\r\n");
					assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
					caller.readHead();
				}
			}
			awaitEmptyBudget();
		}

		// Guards against open connections that each keep memory for as many fields as
		// their largest head had.
		@Test
		void connectionIsClosedAfterTheResponseToAHeadOfManyLines() throws Exception {
			try (Caller caller = connect()) {
				caller.send(HEAD + "t:\r\n".repeat(550) + "Content-Length: 0\r\n\r\n");
				assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
				assertThat(caller.readToEnd()).contains("Connection: close");
			}
			awaitEmptyBudget();
		}

		// Guards against open connections that each keep buffers of the size of the
		// longest text that they had.
		@ParameterizedTest
		@ValueSource(strings = { "POST /%s HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\nt: %s\r\n",
				"POST / HTTP/1.1\r\nHost: a\r\n%s: t\r\n" })
		void connectionIsClosedAfterTheResponseToAHeadWithALongText(String head) throws Exception {
			try (Caller caller = connect()) {
				caller.send(head.formatted("x".repeat(4_000)) + "Content-Length: 0\r\n\r\n");
				assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
				caller.readHead();
				caller.send(head.formatted("x".repeat(5_000)) + "Content-Length: 0\r\n\r\n");
				assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
				assertThat(caller.readToEnd()).contains("Connection: close");
			}
		}

		@Test
		void trailersAreRefusedBeyondTheBudget() throws Exception {
			try (Caller caller = connect()) {
				caller.send(HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + "t:\r\n".repeat(1_000));
				assertThat(caller.readToEnd()).doesNotContain("HTTP/1.1 200");
			}
			awaitEmptyBudget();
		}

		// Guards against memory that is counted as free while the connection keeps
		// trailers after an early response.
		@Test
		void trailersAreCountedUntilTheMessageEnds() throws Exception {
			try (Caller caller = connect()) {
				caller.send("POST /early HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
						+ "t:\r\n".repeat(300));
				assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
				BudgetedHttpConnection connection = BudgetedHttpConnectionTests.this.earlyConnection.get(5,
						TimeUnit.SECONDS);
				while (connection.isInRequest()) {
					TimeUnit.MILLISECONDS.sleep(1);
				}
				boolean counted = BudgetedHttpConnectionTests.this.budget.reservedBytes() > 0;
				assertThat(counted || !connection.getEndPoint().isOpen()).isTrue();
			}
			awaitEmptyBudget();
		}

		@Test
		void trailersWithinTheBudgetAreDropped() throws Exception {
			try (Caller caller = connect()) {
				caller.send(HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: b\r\nc: d\r\n\r\n");
				assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
			}
		}

		@Test
		void smallHeadIsServedWhileTheBudgetIsUsedUp() throws Exception {
			BufferBudget.Reservation reservation = BudgetedHttpConnectionTests.this.budget.newReservation();
			assertThat(reservation.tryReserve(100_000)).isTrue();
			try (Caller caller = connect()) {
				caller.send(HEAD + "t:\r\n".repeat(20) + "Content-Length: 0\r\n\r\n");
				assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
			}
		}

	}

	// Guards against processes that ran out of memory by the number of connections.
	@Nested
	class Connections {

		@Test
		void newConnectionReplacesTheOneThatHasBeenWithoutARequestForTheLongestTime() throws Exception {
			try (Caller first = connect(); Caller second = connect(); Caller third = connect()) {
				first.exchange();
				second.exchange();
				third.exchange();
				first.exchange();
				try (Caller fourth = connect()) {
					fourth.exchange();
					assertThat(second.readToEnd()).isEmpty();
					first.exchange();
					third.exchange();
				}
			}
		}

		@Test
		void requestsInProgressAreNotCutByNewConnections() throws Exception {
			try (Caller first = connect(); Caller second = connect(); Caller third = connect()) {
				for (Caller caller : new Caller[] { first, second, third }) {
					caller.send(HEAD + "Content-Length: 1\r\n\r\n");
				}
				awaitRequestsInProgress();
				try (Caller fourth = connect()) {
					assertThat(fourth.readToEnd()).isEmpty();
				}
				for (Caller caller : new Caller[] { first, second, third }) {
					caller.send("x");
					assertThat(caller.readLine()).isEqualTo("HTTP/1.1 200 OK");
				}
			}
		}

		private void awaitRequestsInProgress() throws InterruptedException {
			for (int i = 0; i < 500 && countRequestsInProgress() < MAXIMUM_CONNECTIONS; i++) {
				TimeUnit.MILLISECONDS.sleep(10);
			}
			assertThat(countRequestsInProgress()).isEqualTo(MAXIMUM_CONNECTIONS);
		}

		private long countRequestsInProgress() {
			return BudgetedHttpConnectionTests.this.connector.getConnectedEndPoints()
				.stream()
				.filter((endPoint) -> endPoint.getConnection() instanceof BudgetedHttpConnection connection
						&& connection.isInRequest())
				.count();
		}

	}

	private final class BodyReadingHandler extends Handler.Abstract.NonBlocking {

		@Override
		public boolean handle(Request request, Response response, Callback callback) {
			if (request.getHttpURI().getPath().equals("/early")) {
				respondEarly(request, callback);
				return true;
			}
			Content.Source.consumeAll(request, Callback.from(() -> {
				response.setStatus((request.getTrailers() == null) ? 200 : 500);
				callback.succeeded();
			}, callback::failed));
			return true;
		}

		// Once trailers are counted, which follow the body.
		private void respondEarly(Request request, Callback callback) {
			BudgetedHttpConnectionTests.this.earlyConnection
				.complete((BudgetedHttpConnection) request.getConnectionMetaData().getConnection());
			Content.Chunk chunk = request.read();
			while (chunk != null) {
				chunk.release();
				chunk = request.read();
			}
			if (BudgetedHttpConnectionTests.this.budget.reservedBytes() == 0) {
				request.demand(() -> respondEarly(request, callback));
				return;
			}
			callback.succeeded();
		}

	}

	private static final class Caller implements AutoCloseable {

		private final Socket socket;

		private Caller(int port) throws IOException {
			this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
			this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		}

		void send(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

		void exchange() throws IOException {
			send(HEAD + "Content-Length: 0\r\n\r\n");
			assertThat(readLine()).isEqualTo("HTTP/1.1 200 OK");
			readHead();
		}

		String readLine() throws IOException {
			StringBuilder line = new StringBuilder();
			for (int next = this.socket.getInputStream().read(); next >= 0
					&& next != '\n'; next = this.socket.getInputStream().read()) {
				line.append((char) next);
			}
			return line.toString().strip();
		}

		// The responses have no body.
		void readHead() throws IOException {
			while (!readLine().isEmpty()) {
				// Skips the line.
			}
		}

		// A reset is an end, too.
		String readToEnd() {
			StringBuilder text = new StringBuilder();
			try {
				for (int next = this.socket.getInputStream().read(); next >= 0; next = this.socket.getInputStream()
					.read()) {
					text.append((char) next);
				}
			}
			catch (IOException ex) {
				text.append("");
			}
			return text.toString();
		}

		boolean isRefused() throws IOException {
			this.socket.setSoTimeout(1_000);
			return readToEnd().startsWith("HTTP/1.1 431 ");
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
