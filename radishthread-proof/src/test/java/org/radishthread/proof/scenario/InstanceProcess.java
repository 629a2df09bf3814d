package org.radishthread.proof.scenario;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * An instance that runs as a separate process. Its settings, log and data are stored in
 * the scenario's folder.
 */
final class InstanceProcess {

	private static final long EXIT_TIMEOUT_SECONDS = 60;

	private static final AtomicInteger nextPort = new AtomicInteger(21_000);

	final String name;

	final int callerPort = findFreePort();

	final int administrationPort = findFreePort();

	final int peerPort = findFreePort();

	private final Path folder;

	private @Nullable Process process;

	InstanceProcess(String name, Path folder) {
		this.name = name;
		this.folder = folder;
	}

	// Ports below the ephemeral range: an outgoing connection could take a port from that
	// range before the instance binds it.
	private static int findFreePort() {
		while (true) {
			int port = nextPort.getAndIncrement();
			try (ServerSocket socket = new ServerSocket(port)) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; try the next one.
			}
		}
	}

	String administrationAddress() {
		return "127.0.0.1:" + this.administrationPort;
	}

	void writeSettings(String zone, List<String> seeds) throws IOException {
		Files.writeString(this.folder.resolve(this.name + ".yaml"), """
				instance: %s
				zone: %s
				roles: [gateway, control]
				listen:
				  caller: 127.0.0.1:%d
				  administration: 127.0.0.1:%d
				  peer: 127.0.0.1:%d
				seeds: %s
				data: data-%s
				secrets:
				  peer: peer.token
				  administration: administration.token
				  announcement: announcement.token
				limits:
				  notice-millis: 500
				""".formatted(this.name, zone, this.callerPort, this.administrationPort, this.peerPort,
				seeds.stream().map((seed) -> '"' + seed + '"').toList(), this.name));
	}

	void start() throws IOException {
		Path logFile = this.folder.resolve(this.name + ".log");
		this.process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Djava.util.logging.manager=org.jboss.logmanager.LogManager", "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "-Xmx128m", "-cp", System.getProperty("java.class.path"),
				"org.radishthread.daemon.DaemonMain", "--settings",
				this.folder.resolve(this.name + ".yaml").toString()))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
			.start();
	}

	private Process requireProcess() {
		Process currentProcess = this.process;
		if (currentProcess == null) {
			throw new IllegalStateException("Instance '" + this.name + "' has not been started.");
		}
		return currentProcess;
	}

	void sendSignal(String signalName) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signalName, String.valueOf(requireProcess().pid())).start().waitFor();
	}

	void kill() throws InterruptedException {
		requireProcess().destroyForcibly().waitFor();
	}

	boolean awaitExit() throws InterruptedException {
		return requireProcess().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	boolean isRunning() {
		return this.process != null && this.process.isAlive();
	}

	void deleteData() throws IOException {
		Path dataFolder = this.folder.resolve("data-" + this.name);
		try (Stream<Path> files = Files.walk(dataFolder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

}
