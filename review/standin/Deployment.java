import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: the project's own programs as separate processes, started with the
 * commands and the settings templates of the deploy file, each on a loopback address of
 * its own.
 */
final class Deployment implements AutoCloseable {

	private static final Path TOP = Path.of("").toAbsolutePath();

	private static final int FRONT = 0;

	private static final int READY = 1;

	private static final int CONTROL = 2;

	private static final int INTERNAL = 3;

	// The bounds of the small deployments on the pages.
	private static final Map<String, Object> BOUNDS = Map.of("stable_window_ms", 3000, "ack_ms", 4000, "drain_ms", 2000,
			"grace_s", 6, "config_apply_ms", 2000, "retry_budget_ratio", 0.2, "budget_window_s", 10,
			"retry_budget_slack", 58);

	private final Record record;

	private final Path folder;

	private final int[] ports = new int[5];

	private final Map<String, String> ips = new LinkedHashMap<>();

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

	private final List<String> controls = new ArrayList<>();

	private final List<String> gateways = new ArrayList<>();

	Deployment(Record record, int controlCount, int gatewayCount) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("radishthread-review");
		int network = 16 + new Random().nextInt(200);
		for (int i = 1; i <= controlCount; i++) {
			this.controls.add("core-" + i);
			this.ips.put("core-" + i, "127." + network + ".0." + i);
		}
		for (int i = 1; i <= gatewayCount; i++) {
			this.gateways.add("edge-" + i);
			this.ips.put("edge-" + i, "127." + network + ".1." + i);
		}
		for (int i = 0; i < this.ports.length; i++) {
			this.ports[i] = freePort();
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"))) {
			return socket.getLocalPort();
		}
	}

	List<String> nodes() {
		return List.copyOf(this.ips.keySet());
	}

	List<String> gateways() {
		return this.gateways;
	}

	InetSocketAddress front(String gateway) {
		return new InetSocketAddress(this.ips.get(gateway), this.ports[FRONT]);
	}

	String controlAddress(String control) {
		return this.ips.get(control) + ":" + this.ports[CONTROL];
	}

	List<String> controlAddresses() {
		return this.controls.stream().map(this::controlAddress).toList();
	}

	Path logFile(String node) {
		return this.folder.resolve(node + ".log");
	}

	void startAll() throws Exception {
		for (String node : this.ips.keySet()) {
			start(node, true);
		}
	}

	void start(String node, boolean bootstrap) throws Exception {
		boolean gateway = node.startsWith("edge");
		String ip = this.ips.get(node);
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("node", node);
		fields.put("ip", ip);
		fields.put("zone", "zone-" + (char) ('a' + (node.charAt(node.length() - 1) - '1') % 3));
		fields.put("listen", gateway ? Map.of("front", ip + ":" + this.ports[FRONT], "ready", ip + ":" + this.ports[READY])
				: Map.of("control", ip + ":" + this.ports[CONTROL]));
		fields.put("internal_ports", List.of(this.ports[INTERNAL], this.ports[INTERNAL + 1]));
		fields.put("seeds", controlAddresses().subList(0, Math.min(3, this.controls.size())));
		fields.put("bootstrap", bootstrap);
		fields.put("limits", Map.of("cpu_share", 0.6, "link_mbps", 1000.0));
		fields.put("bounds", BOUNDS);
		if (!gateway) {
			Path data = this.folder.resolve(node);
			Files.createDirectories(data);
			fields.put("data_dir", data.toString());
		}
		Path settings = this.folder.resolve(node + ".yaml");
		Files.writeString(settings,
				Template.render(Files.readString(TOP.resolve(gateway ? "deploy/gateway.yaml" : "deploy/control.yaml")),
						fields));
		List<String> command = command(gateway ? "gateway" : "control", settings);
		ProcessBuilder builder = new ProcessBuilder(command).directory(TOP.toFile());
		builder.environment().put("RADISHTHREAD_TOKEN", token(gateway ? "gateway" : "control"));
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(node).toFile()));
		Process process = builder.start();
		synchronized (this.processes) {
			this.processes.put(node, process);
		}
		this.record.write("started %s, process %d", node, process.pid());
	}

	private static String roleSection(String role) throws IOException {
		String text = Files.readString(TOP.resolve("deploy/system.toml"));
		Matcher section = Pattern.compile("\\[roles\\." + role + "\\](.*?)(?=\\n\\[|\\z)", Pattern.DOTALL).matcher(text);
		if (!section.find()) {
			throw new IOException("deploy/system.toml has no role '" + role + "'.");
		}
		return section.group(1);
	}

	private static List<String> command(String role, Path settings) throws IOException {
		Matcher run = Pattern.compile("run = \"(.*?)\"").matcher(roleSection(role));
		run.find();
		return Arrays.asList(run.group(1).replace("/etc/radishthread/boot.json", settings.toString()).split(" "));
	}

	private static String token(String role) throws IOException {
		Matcher token = Pattern.compile("RADISHTHREAD_TOKEN = \"(.*?)\"").matcher(roleSection(role));
		token.find();
		return token.group(1);
	}

	/** Replaces a lost control instance by an empty one at another address. */
	void replaceControl(String lost, String added) throws Exception {
		int index = this.controls.indexOf(lost);
		this.ips.put(added, this.ips.get(lost).replaceAll("[0-9]+$", Integer.toString(100 + this.ips.size())));
		this.controls.set(index, added);
		start(added, false);
	}

	/** Kills all processes at once, and starts them again with their disks. */
	void killAndStartAll(int downMillis) throws Exception {
		for (String node : nodes()) {
			signal(node, "KILL");
		}
		Thread.sleep(downMillis);
		for (String node : nodes()) {
			start(node, false);
		}
	}

	/** Sends a signal by its name, such as TERM, KILL, STOP or CONT. */
	void signal(String node, String name) throws Exception {
		this.record.write("signal %s to %s", name, node);
		long pid = this.processes.get(node).pid();
		int status = new ProcessBuilder("bash", "-c", "kill -" + name + ' ' + pid).start().waitFor();
		if (status != 0) {
			throw new IllegalStateException("kill -" + name + " of " + node + " ended with " + status + ", 0 was expected.");
		}
	}

	boolean isAlive(String node) {
		return this.processes.get(node).isAlive();
	}

	/** Sends a config to the control instances in turn until one acknowledges it. */
	boolean submitConfig(String config, int seconds) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		for (int i = 0; System.nanoTime() < endNanos; i++) {
			String control = this.controls.get(i % this.controls.size());
			int status = call("POST", controlAddress(control), "/config/replace", config);
			this.record.write("config to %s: %d", control, status);
			if (status == 200) {
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	/** Reads the config at each control instance in turn, and returns the first answer, or null. */
	String readConfig() {
		for (String control : this.controls) {
			try {
				HttpResponse<String> response = this.http.send(
						HttpRequest.newBuilder(URI.create("http://" + controlAddress(control) + "/config/get"))
							.timeout(Duration.ofSeconds(1))
							.build(),
						HttpResponse.BodyHandlers.ofString());
				this.record.write("read of the config at %s: %d", control, response.statusCode());
				if (response.statusCode() == 200) {
					return response.body();
				}
			}
			catch (IOException ex) {
				this.record.write("read of the config at %s: no answer", control);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return null;
			}
		}
		return null;
	}

	/** Makes a call with a JSON body, and returns the status, or 0 without a response. */
	int call(String method, String address, String path, String body) {
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
				.timeout(Duration.ofMillis(2_000))
				.header("Content-Type", "application/json")
				.method(method, HttpRequest.BodyPublishers.ofString(body))
				.build();
			return this.http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	/** Waits until a gateway reports that it is ready. */
	boolean awaitReady(String gateway, int seconds) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < endNanos) {
			if (isReady(gateway)) {
				this.record.write("%s is ready", gateway);
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	boolean awaitAllReady(int seconds) throws Exception {
		for (String gateway : this.gateways) {
			if (!awaitReady(gateway, seconds)) {
				return false;
			}
		}
		return true;
	}

	boolean isReady(String gateway) {
		return call("GET", this.ips.get(gateway) + ":" + this.ports[READY], "/readiness", "") == 200;
	}

	private void killAll() {
		synchronized (this.processes) {
			this.processes.values().forEach(Process::destroyForcibly);
		}
	}

	@Override
	public void close() throws Exception {
		killAll();
		for (Process process : this.processes.values()) {
			process.waitFor();
		}
		if (System.getenv("KEEP") != null) {
			System.out.println("kept " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
	}

}
