package org.radishthread.daemon.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.SlotMessage;

import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests for {@link OutboundPeerConnection} with a peer that refuses connections.
 */
class RefusedPeerConnectionTests {

	private static final int MESSAGE_COUNT = 5_000_000;

	@TempDir
	private Path directory;

	private PeerTransport transport;

	@BeforeEach
	void start() throws IOException {
		Files.writeString(this.directory.resolve("token"), "0123456789abcdef");
		Path file = Files.writeString(this.directory.resolve("settings.yaml"), """
				instance: gateway-1
				zone: zone-1
				roles: [gateway]
				listen: {caller: "127.0.0.1:1", administration: "127.0.0.1:2", peer: "127.0.0.1:%d"}
				seeds: ["127.0.0.1:3"]
				secrets: {peer: token, administration: token, announcement: token}
				""".formatted(unusedPort()));
		DaemonSettings settings = SettingsReader.read(file);
		this.transport = new PeerTransport(settings, new SimpleMeterRegistry());
	}

	private static int unusedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	@AfterEach
	void stop() {
		this.transport.stop();
	}

	// Guards against requests whose callers get no response, because a message to a
	// silent home failed on the thread that was about to write it.
	@Test
	void messageOnAConnectionThatIsClosedMeanwhileIsDropped() {
		Envelope envelope = Envelope.newBuilder().setSlot(SlotMessage.getDefaultInstance()).build();
		assertThatCode(() -> {
			for (int i = 0; i < MESSAGE_COUNT; i++) {
				this.transport.send("127.0.0.1:1", envelope);
			}
		}).doesNotThrowAnyException();
	}

}
