package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.radishthread.daemon.http.BufferBudget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallerEndPoint} with a server and sockets.
 */
class CallerEndPointTests {

	private static final int BUDGET_BYTES = 8 * 1_024;

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

	private final BufferBudget budget = new BufferBudget(BUDGET_BYTES);

	private final Server server = new Server();

	private final AtomicInteger requestCount = new AtomicInteger();

	private final CompletableFuture<CallerEndPoint> endPoint = new CompletableFuture<>();

	private final CompletableFuture<Callback> firstRequest = new CompletableFuture<>();

	private ServerConnector connector;

	@BeforeEach
	void start() throws Exception {
		this.connector = new ServerConnector(this.server, 1, 1, new HttpConnectionFactory()) {

			@Override
			protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector,
					SelectionKey key) {
				CallerEndPoint created = new CallerEndPoint(channel, selector, key, getScheduler(),
						CallerEndPointTests.this.budget.newReservation());
				CallerEndPointTests.this.endPoint.complete(created);
				return created;
			}

		};
		this.connector.setHost("127.0.0.1");
		this.server.addConnector(this.connector);
		this.server.setHandler(new HoldingHandler());
		this.server.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.server.stop();
	}

	private Socket sendAhead(int requests) throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.connector.getLocalPort());
		socket.setSoTimeout(5_000);
		socket.getOutputStream().write(REQUEST.repeat(1 + requests).getBytes(StandardCharsets.ISO_8859_1));
		return socket;
	}

	private boolean isClosedByCallerInTime() throws Exception {
		CallerEndPoint connection = this.endPoint.get(5, TimeUnit.SECONDS);
		this.firstRequest.get(5, TimeUnit.SECONDS);
		boolean closed = connection.isClosedByCaller();
		for (int i = 0; i < 200 && !closed; i++) {
			TimeUnit.MILLISECONDS.sleep(10);
			closed = connection.isClosedByCaller();
		}
		return closed;
	}

	@Test
	void closeAfterRequestsSentAheadIsNoticed() throws Exception {
		sendAhead(10).close();
		assertThat(isClosedByCallerInTime()).isTrue();
	}

	// Guards against callers that have left and occupy the upstreams, request after
	// request, because they sent more ahead than the budget has room for.
	@Test
	void closeIsNoticedWhenTheBudgetHasNoRoomForRequestsSentAhead() throws Exception {
		sendAhead(2_000).close();
		assertThat(isClosedByCallerInTime()).isTrue();
		assertThat(this.budget.reservedBytes()).isZero();
		assertThat(this.requestCount).hasValue(1);
	}

	@Test
	void droppedRequestsAreNotRunAndTheirConnectionIsClosed() throws Exception {
		try (Socket socket = sendAhead(2_000)) {
			assertThat(isClosedByCallerInTime()).isFalse();
			this.firstRequest.get().succeeded();
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertThat(response).startsWith("HTTP/1.1 200 OK").contains("Connection: close");
			assertThat(response.split("HTTP/1.1 ", -1)).hasSize(2);
			assertThat(this.requestCount).hasValue(1);
		}
	}

	private final class HoldingHandler extends Handler.Abstract.NonBlocking {

		@Override
		public boolean handle(Request request, Response response, Callback callback) {
			CallerEndPointTests.this.requestCount.incrementAndGet();
			if (!CallerEndPointTests.this.firstRequest.complete(callback)) {
				callback.succeeded();
			}
			return true;
		}

	}

}
