package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.radishthread.daemon.peer.UpstreamConnectionListener;
import org.radishthread.kernel.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of attempts at an upstream that sends a part of a response without end.
 */
class EndlessResponseTests {

	// More than a gateway may hold of one response, and little enough for the test.
	private static final int SENT_BYTES = 32 * 1_024 * 1_024;

	// The head or trailer of a response, and what fits into the buffers of two sockets.
	private static final int MAXIMUM_RECEIVED_BYTES = 16 * 1_024 * 1_024;

	private static final int BUFFER_LIMIT_BYTES = 256 * 1_024;

	private static final long TIMEOUT_SECONDS = 20;

	private UpstreamClients clients;

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.clients = new UpstreamClients(null, UpstreamConnectionListener.NONE);
		this.clients.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.clients.stop();
		this.server.close();
	}

	// Sends the beginning of a response and then one piece again and again, and returns
	// how many bytes the gateway took before it closed the connection.
	private int sendEndlessly(String beginning, String piece) throws IOException {
		byte[] bytes = piece.repeat(Math.max(1, 16_384 / piece.length())).getBytes(StandardCharsets.ISO_8859_1);
		try (Socket socket = this.server.accept()) {
			socket.getInputStream().read();
			OutputStream output = socket.getOutputStream();
			output.write(beginning.getBytes(StandardCharsets.ISO_8859_1));
			int sentBytes = 0;
			while (sentBytes < SENT_BYTES) {
				try {
					output.write(bytes);
				}
				catch (IOException ex) {
					return sentBytes;
				}
				sentBytes += bytes.length;
			}
			return sentBytes;
		}
	}

	// Guards against a response head without end that exhausts the heap of a gateway.
	@ParameterizedTest
	@CsvSource({ "'HTTP/1.1 200 OK\r\n', 'a:b\r\n'", "'HTTP/1.1 200 OK\r\na:', 'b'", "'HTTP/1.1 200 ', 'b'",
			"'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'a:b\r\n'" })
	void attemptFailsAtTheMaximumSizeOfHeadsAndTrailers(String beginning, String piece) throws Exception {
		CompletableFuture<Integer> sentBytes = CompletableFuture.supplyAsync(() -> {
			try {
				return sendEndlessly(beginning, piece);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		AttemptTests.RecordingListener listener = new AttemptTests.RecordingListener();
		NetworkAddress address = new NetworkAddress("127.0.0.1", this.server.getLocalPort());
		new Attempt("i-1", address, this.clients.request(address, true, "/x"), new DefaultHttpDialect(), "r-1",
				BUFFER_LIMIT_BYTES, true, listener)
			.send();
		assertThat(listener.result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("failed NO_COMPLETE_RESPONSE");
		assertThat(sentBytes.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isLessThan(MAXIMUM_RECEIVED_BYTES);
	}

}
