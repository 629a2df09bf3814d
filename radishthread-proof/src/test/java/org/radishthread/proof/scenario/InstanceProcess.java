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
 * One instance as a process of its own.
 */
final class InstanceProcess {

	private static final long STOP_SECONDS = 60;

	private static final AtomicInteger nextPort = new AtomicInteger(21_000);

	final String name;

	final int callerPort = freePort();

	final int administrationPort = freePort();

	final int peerPort = freePort();

	private final Path folder;

	private @Nullable Process process;

	InstanceProcess(String name, Path folder) {
		this.name = name;
		this.folder = folder;
	}

	// Below the range from which the system takes ports for outgoing connections, any of
	// which could be taken before the instance opens its own.
	private static int freePort() {
		while (true) {
			int port = nextPort.getAndIncrement();
			try (ServerSocket socket = new ServerSocket(port)) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// Somebody else uses it; try the next one.
			}
		}
	}

	String administration() {
		return "127.0.0.1:" + this.administrationPort;
	}

	void configure(String zone, List<String> seeds) throws IOException {
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
		Path log = this.folder.resolve(this.name + ".log");
		this.process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Djava.util.logging.manager=org.jboss.logmanager.LogManager", "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "-Xmx128m", "-cp", System.getProperty("java.class.path"),
				"org.radishthread.daemon.DaemonMain", "--settings",
				this.folder.resolve(this.name + ".yaml").toString()))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
			.start();
	}

	private Process running() {
		Process present = this.process;
		if (present == null) {
			throw new IllegalStateException("Instance " + this.name + " must have been started.");
		}
		return present;
	}

	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, String.valueOf(running().pid())).start().waitFor();
	}

	void kill() throws InterruptedException {
		running().destroyForcibly().waitFor();
	}

	boolean awaitEnd() throws InterruptedException {
		return running().waitFor(STOP_SECONDS, TimeUnit.SECONDS);
	}

	boolean isRunning() {
		return this.process != null && this.process.isAlive();
	}

	void loseDisk() throws IOException {
		Path data = this.folder.resolve("data-" + this.name);
		try (Stream<Path> files = Files.walk(data)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

}
