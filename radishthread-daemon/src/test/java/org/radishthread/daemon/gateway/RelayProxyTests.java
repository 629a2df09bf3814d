package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.peer.RelayHandshake;
import org.radishthread.daemon.peer.UpstreamConnectionListener;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.kernel.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link RelayProxy} with the peer port of an instance that relays: callers of
 * an instance that is partitioned from an upstream get its responses unchanged.
 */
class RelayProxyTests {

	private static final int BODY_BYTES = 3_000_000;

	private static final int RESET_DELAY_MILLIS = 1_000;

	@TempDir
	private Path directory;

	private final AtomicBoolean requestBegun = new AtomicBoolean();

	private PeerTransport transport;

	private UpstreamClients clients;

	private String relay;

	@BeforeEach
	void start() throws IOException {
		this.relay = "127.0.0.1:" + unusedPort();
		DaemonSettings settings = settings("0123456789abcdef");
		this.transport = new PeerTransport(settings, new SimpleMeterRegistry());
		this.transport.start();
		this.clients = new UpstreamClients(new RelayHandshake(settings), UpstreamConnectionListener.NONE);
		this.clients.start();
	}

	private DaemonSettings settings(String token) throws IOException {
		Files.writeString(this.directory.resolve("token"), token);
		Path file = Files.writeString(this.directory.resolve("settings.yaml"), """
				instance: gateway-1
				zone: zone-1
				roles: [gateway]
				listen: {caller: "127.0.0.1:1", administration: "127.0.0.1:2", peer: "%s"}
				seeds: ["127.0.0.1:3"]
				secrets: {peer: token, administration: token, announcement: token}
				""".formatted(this.relay));
		return SettingsReader.read(file);
	}

	private static int unusedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	@AfterEach
	void stop() {
		this.clients.stop();
		this.transport.stop();
	}

	private Request request(int port) {
		return this.clients.relayedRequest(new NetworkAddress("127.0.0.1", port), true, "/r/x", this.relay)
			.onRequestBegin((request) -> this.requestBegun.set(true))
			.timeout(10, TimeUnit.SECONDS);
	}

	// An upstream for one connection. It reads the body and sends a response without a
	// length, which ends with the connection.
	private static ServerSocket startUpstream(int requestBytes, byte[] responseBody, boolean reset) throws IOException {
		ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(() -> {
			try (Socket socket = server.accept()) {
				StringBuilder head = new StringBuilder();
				while (head.indexOf("\r\n\r\n") < 0) {
					head.append((char) socket.getInputStream().read());
				}
				socket.getInputStream().readNBytes(requestBytes);
				socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(responseBody);
				if (reset) {
					TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MILLIS);
					socket.setSoLinger(true, 0);
				}
			}
			catch (IOException | InterruptedException ex) {
				// The test sees that no response arrives.
			}
		});
		thread.setDaemon(true);
		thread.start();
		return server;
	}

	private static byte[] body() {
		byte[] body = new byte[BODY_BYTES];
		for (int i = 0; i < body.length; i++) {
			body[i] = (byte) (i * 31 + i / 1_000);
		}
		return body;
	}

	@Test
	void largeBodiesPassInBothDirections() throws Exception {
		try (ServerSocket upstream = startUpstream(BODY_BYTES, body(), false)) {
			CompletableResponseListener listener = new CompletableResponseListener(
					request(upstream.getLocalPort()).method("POST").body(new BytesRequestContent(body())),
					2 * BODY_BYTES);
			ContentResponse response = listener.send().get();
			assertThat(response.getStatus()).isEqualTo(200);
			assertThat(Arrays.equals(response.getContent(), body())).isTrue();
		}
	}

	@Test
	void resetOfTheUpstreamIsNoCompleteResponse() throws Exception {
		try (ServerSocket upstream = startUpstream(0, "part".getBytes(StandardCharsets.ISO_8859_1), true)) {
			assertThatThrownBy(() -> request(upstream.getLocalPort()).send()).isInstanceOf(ExecutionException.class)
				.hasCauseInstanceOf(IOException.class);
			assertThat(this.requestBegun).isTrue();
		}
	}

	// Guards against a response without a length that looks complete because the instance
	// that relays it ended.
	@Test
	void endOfTheRelayIsNoCompleteResponse() throws Exception {
		try (ServerSocket upstream = startUpstream(0, "part".getBytes(StandardCharsets.ISO_8859_1), true)) {
			Request request = request(upstream.getLocalPort())
				.onResponseContent((response, content) -> this.transport.stop());
			assertThatThrownBy(request::send).isInstanceOf(ExecutionException.class)
				.hasCauseInstanceOf(IOException.class);
		}
	}

	// Guards against a part of a response without a length that looks complete because
	// the process of its upstream ended: the operating system closes the port and then
	// the connection regularly.
	@Test
	void endOfTheUpstreamIsNoCompleteResponse() throws Exception {
		try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture.runAsync(() -> {
				try (Socket socket = upstream.accept()) {
					socket.getInputStream().read();
					upstream.close();
					socket.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.ISO_8859_1));
					// A close with unread bytes would reset the connection.
					socket.getInputStream().skip(socket.getInputStream().available());
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			});
			assertThatThrownBy(() -> request(upstream.getLocalPort()).send()).isInstanceOf(ExecutionException.class)
				.hasCauseInstanceOf(IOException.class);
			assertThat(this.requestBegun).isTrue();
		}
	}

	@Test
	void requestIsNotBegunIfTheRelayCannotReachTheUpstream() throws Exception {
		int port = unusedPort();
		assertThatThrownBy(() -> request(port).send()).isInstanceOf(ExecutionException.class)
			.hasMessageContaining("cannot reach the upstream");
		assertThat(this.requestBegun).isFalse();
	}

	@Test
	void instanceWithoutTheTokenIsNotConnected() throws Exception {
		UpstreamClients strangers = new UpstreamClients(new RelayHandshake(settings("another token 123456")),
				UpstreamConnectionListener.NONE);
		strangers.start();
		try (ServerSocket upstream = startUpstream(0, new byte[1], false)) {
			Request request = strangers
				.relayedRequest(new NetworkAddress("127.0.0.1", upstream.getLocalPort()), true, "/r/x", this.relay)
				.timeout(10, TimeUnit.SECONDS);
			assertThatThrownBy(request::send).isInstanceOf(ExecutionException.class);
		}
		finally {
			strangers.stop();
		}
	}

}
