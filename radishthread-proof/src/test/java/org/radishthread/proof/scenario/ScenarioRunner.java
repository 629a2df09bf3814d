package org.radishthread.proof.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.radishthread.proof.standin.Announcer;
import org.radishthread.proof.standin.RawUpstream;
import org.radishthread.proof.standin.StandInRelay;
import org.radishthread.proof.standin.StandInUpstream;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs a scenario file with instances, stand-in upstreams and requests of its own. Each
 * line holds a command and its arguments; {@code #} starts a comment. The commands are
 * the cases of {@link #runCommand}. The prefix {@code eventually} repeats a command until
 * it passes or the time limit expires.
 */
final class ScenarioRunner {

	private static final long EVENTUALLY_TIMEOUT_NANOS = 40_000_000_000L;

	private static final int UPLOAD_CHUNK_BYTES = 64 * 1024;

	private static final String SHARED_SECRET = "token-of-scenarios";

	private final Path folder;

	private final Map<String, InstanceProcess> instances = new LinkedHashMap<>();

	private final Map<String, StandInUpstream> upstreams = new LinkedHashMap<>();

	private final Map<String, StandInRelay> relays = new LinkedHashMap<>();

	private final List<RawUpstream> rawUpstreams = new ArrayList<>();

	private final Map<String, Announcer> announcers = new LinkedHashMap<>();

	private final Map<String, CompletableFuture<HttpResponse<String>>> pendingResponses = new LinkedHashMap<>();

	private final HttpClient httpClient = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

	ScenarioRunner(Path folder) {
		this.folder = folder;
	}

	void run(List<String> lines) throws Exception {
		try {
			for (int i = 0; i < lines.size(); i++) {
				String line = lines.get(i).replaceAll("#.*", "").strip();
				if (!line.isEmpty()) {
					runLine(i + 1, line);
				}
			}
		}
		finally {
			stopAll();
		}
	}

	private void runLine(int lineNumber, String line) throws Exception {
		try {
			List<String> command = Arrays.asList(line.split("\\s+"));
			if (command.get(0).equals("eventually")) {
				retryUntilPassed(() -> runCommand(command.subList(1, command.size())));
			}
			else {
				runCommand(command);
			}
		}
		catch (AssertionError ex) {
			throw new AssertionError("Line " + lineNumber + ": " + line + '\n' + ex.getMessage(), ex);
		}
	}

	private static void retryUntilPassed(Callable<Void> action) throws Exception {
		long deadlineNanos = System.nanoTime() + EVENTUALLY_TIMEOUT_NANOS;
		while (true) {
			try {
				action.call();
				return;
			}
			catch (AssertionError | IOException ex) {
				if (System.nanoTime() > deadlineNanos) {
					throw new AssertionError("Still failing when the time limit expired: " + ex.getMessage(), ex);
				}
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
	}

	private Void runCommand(List<String> command) throws Exception {
		String firstArgument = (command.size() > 1) ? command.get(1) : "";
		switch (command.get(0)) {
			case "instances" -> startInstances(Integer.parseInt(firstArgument));
			case "found" -> sendOperatorRequest("POST", "/control/initialize",
					"{\"instances\":[\"" + String.join("\",\"", this.instances.keySet()) + "\"]}", 200);
			case "replace" ->
				sendOperatorRequest("POST", "/control/replace", "{\"instance\":\"" + firstArgument + "\"}", 200);
			case "start" -> instance(firstArgument).start();
			case "kill" -> instance(firstArgument).kill();
			case "freeze" -> instance(firstArgument).sendSignal("STOP");
			case "thaw" -> instance(firstArgument).sendSignal("CONT");
			case "terminate" -> instance(firstArgument).sendSignal("TERM");
			case "ended" -> assertThat(instance(firstArgument).awaitExit()).as("%s exited", firstArgument).isTrue();
			case "lose-disk" -> instance(firstArgument).deleteData();
			case "wait" -> TimeUnit.MILLISECONDS.sleep(Long.parseLong(firstArgument));
			case "upstream" -> startUpstream(firstArgument, command.get(2), Long.parseLong(command.get(3)));
			case "relayed-upstream" ->
				startRelayedUpstream(firstArgument, command.get(2), Long.parseLong(command.get(3)));
			case "raw-upstream" ->
				startRawUpstream(firstArgument, command.get(2), RawUpstream.RawResponse.valueOf(command.get(3)));
			case "never" -> checkTextAbsent(command);
			case "lose-track" -> this.relays.get(firstArgument).silenceOpenConnections();
			case "fault" -> this.upstreams.get(firstArgument).setFault(StandInUpstream.Fault.valueOf(command.get(2)));
			case "announce" -> this.announcers.get(firstArgument).changeState(command.get(2));
			case "silence" -> this.announcers.get(firstArgument).stop();
			case "rules" -> checkRuleSubmission(command);
			case "revision" ->
				assertThat(ruleRevisionAt(instance(command.get(2)))).isEqualTo(Integer.parseInt(firstArgument));
			case "ready" -> assertThat(isReady(instance(firstArgument))).as("%s ready", firstArgument).isTrue();
			case "not-ready" -> assertThat(isReady(instance(firstArgument))).as("%s ready", firstArgument).isFalse();
			case "read" -> checkRead(command);
			case "reads" -> checkConcurrentReads(command);
			case "swap" -> checkSwap(command);
			case "begin-swap" -> this.pendingResponses.put(command.get(2), beginSwap(firstArgument, command.get(2)));
			case "begin-upload" ->
				this.pendingResponses.put(command.get(2), beginUpload(firstArgument, Integer.parseInt(command.get(3))));
			case "answer" -> assertThat(this.pendingResponses.get(firstArgument).get(60, TimeUnit.SECONDS).statusCode())
				.isEqualTo(Integer.parseInt(command.get(2)));
			case "runs" -> assertThat(runCount(firstArgument)).isEqualTo(Integer.parseInt(command.get(2)));
			case "runs-at-most" ->
				assertThat(runCount(firstArgument)).isLessThanOrEqualTo(Integer.parseInt(command.get(2)));
			case "received" ->
				assertThat(this.upstreams.get(firstArgument).receivedBytes()).isEqualTo(Long.parseLong(command.get(2)));
			case "abandon" -> this.pendingResponses.get(firstArgument).cancel(true);
			case "stop-upstream" -> this.upstreams.get(firstArgument).stopServing();
			case "answered" -> assertThat(this.upstreams.get(firstArgument).responseCount())
				.isEqualTo(Integer.parseInt(command.get(2)));
			case "requests-stay" -> checkNoNewRequests(firstArgument);
			default -> throw new IllegalArgumentException("Unknown command '" + command.get(0) + "'.");
		}
		return null;
	}

	private InstanceProcess instance(String name) {
		return this.instances.get(name);
	}

	private void startInstances(int count) throws IOException {
		for (String secret : List.of("peer", "administration", "announcement")) {
			Files.writeString(this.folder.resolve(secret + ".token"), SHARED_SECRET);
		}
		for (int i = 1; i <= count; i++) {
			this.instances.put("i" + i, new InstanceProcess("i" + i, this.folder));
		}
		List<String> seeds = this.instances.values().stream().map((it) -> "127.0.0.1:" + it.peerPort).toList();
		for (InstanceProcess instance : this.instances.values()) {
			instance.writeSettings("zone-" + instance.name, seeds);
			instance.start();
		}
	}

	private InstanceProcess anyRunningInstance() {
		return this.instances.values().stream().filter(InstanceProcess::isRunning).findFirst().orElseThrow();
	}

	private HttpRequest.Builder newAdministrationRequest(InstanceProcess instance, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + instance.administrationAddress() + path))
			.timeout(Duration.ofSeconds(25))
			.header("Authorization", "Bearer " + SHARED_SECRET);
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.httpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private void sendOperatorRequest(String method, String path, String body, int expectedStatus)
			throws IOException, InterruptedException {
		HttpResponse<String> response = send(newAdministrationRequest(anyRunningInstance(), path).method(method,
				HttpRequest.BodyPublishers.ofString(body)));
		assertThat(response.statusCode()).as(response.body()).isEqualTo(expectedStatus);
	}

	private boolean isReady(InstanceProcess instance) throws InterruptedException {
		try {
			return send(newAdministrationRequest(instance, "/health/ready").timeout(Duration.ofSeconds(2)))
				.statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private int ruleRevisionAt(InstanceProcess instance) throws IOException, InterruptedException {
		String body = send(newAdministrationRequest(instance, "/rules")).body();
		return Integer.parseInt(body.replaceAll("(?s).*\"revision\":(\\d+).*", "$1"));
	}

	// Runs "rules REVISION REQUESTER INSTANCE STATUS".
	private void checkRuleSubmission(List<String> command) throws IOException, InterruptedException {
		String comment = "   # asked by " + command.get(2) + ", 2026-12-01\n";
		String content = "revision " + command.get(1) + comment + "route swapdesk GET /swaps/** timeout=3s" + comment
				+ "route swapdesk POST /swaps/** once timeout=3s" + comment
				+ "route tallybin POST /harvest/** upload timeout=30s" + comment;
		HttpResponse<String> response = send(newAdministrationRequest(instance(command.get(3)), "/rules")
			.POST(HttpRequest.BodyPublishers.ofString(content)));
		assertThat(response.statusCode()).as(response.body()).isEqualTo(Integer.parseInt(command.get(4)));
	}

	private void startUpstream(String name, String service, long serviceMillis) throws Exception {
		StandInUpstream upstream = new StandInUpstream(0, 3, serviceMillis).startServing();
		this.upstreams.put(name, upstream);
		startAnnouncer(name, service, upstream.address());
	}

	private void startRelayedUpstream(String name, String service, long serviceMillis) throws Exception {
		StandInUpstream upstream = new StandInUpstream(0, 3, serviceMillis).startServing();
		this.upstreams.put(name, upstream);
		StandInRelay relay = new StandInRelay(upstream.port()).start();
		this.relays.put(name, relay);
		startAnnouncer(name, service, relay.address());
	}

	private void startRawUpstream(String name, String service, RawUpstream.RawResponse response) throws IOException {
		RawUpstream upstream = new RawUpstream(response).start();
		this.rawUpstreams.add(upstream);
		startAnnouncer(name, service, upstream.address());
	}

	private void startAnnouncer(String name, String service, String address) {
		List<String> administrationAddresses = this.instances.values()
			.stream()
			.map(InstanceProcess::administrationAddress)
			.toList();
		this.announcers.put(name,
				new Announcer(administrationAddresses, SHARED_SECRET, name, service, address, "zone-i1", 3).start());
	}

	private int runCount(String key) {
		return this.upstreams.values().stream().mapToInt((upstream) -> upstream.runCount(key)).sum();
	}

	private void checkNoNewRequests(String upstream) throws InterruptedException {
		int countBefore = this.upstreams.get(upstream).requestCount();
		TimeUnit.MILLISECONDS.sleep(300);
		assertThat(this.upstreams.get(upstream).requestCount()).as("requests at %s", upstream).isEqualTo(countBefore);
	}

	private HttpRequest.Builder newCallerRequest(String instance, String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + instance(instance).callerPort + path))
			.timeout(Duration.ofSeconds(50));
	}

	// Runs "read INSTANCE STATUS".
	private void checkRead(List<String> command) throws IOException, InterruptedException {
		HttpResponse<String> response = send(newCallerRequest(command.get(1), "/swaps/today"));
		assertThat(response.statusCode()).as(response.body()).isEqualTo(Integer.parseInt(command.get(2)));
		if (response.statusCode() == 200) {
			assertThat(response.body()).isEqualTo("GET /swaps/today bytes=0\n");
		}
	}

	// Runs "reads INSTANCE COUNT": sends COUNT concurrent requests, each of which has to
	// receive the complete response to itself.
	private void checkConcurrentReads(List<String> command) throws Exception {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int i = 0; i < Integer.parseInt(command.get(2)); i++) {
			responses.add(this.httpClient.sendAsync(newCallerRequest(command.get(1), "/swaps/" + i).build(),
					HttpResponse.BodyHandlers.ofString()));
		}
		for (int i = 0; i < responses.size(); i++) {
			HttpResponse<String> response = responses.get(i).get(60, TimeUnit.SECONDS);
			assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
			assertThat(response.body()).isEqualTo("GET /swaps/" + i + " bytes=0\n");
		}
	}

	// Runs "never INSTANCE TEXT COUNT": none of COUNT responses may contain the text.
	private void checkTextAbsent(List<String> command) throws IOException, InterruptedException {
		for (int i = 0; i < Integer.parseInt(command.get(3)); i++) {
			HttpResponse<String> response = send(newCallerRequest(command.get(1), "/swaps/" + i));
			assertThat(response.body()).doesNotContain(command.get(2));
		}
	}

	private CompletableFuture<HttpResponse<String>> beginSwap(String instance, String key) {
		return this.httpClient.sendAsync(newCallerRequest(instance, "/swaps/7").header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("room=7"))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	// Runs "swap INSTANCE KEY STATUS [OUTCOME]".
	private void checkSwap(List<String> command) throws Exception {
		HttpResponse<String> response = beginSwap(command.get(1), command.get(2)).get(60, TimeUnit.SECONDS);
		assertThat(response.statusCode()).as(response.body()).isEqualTo(Integer.parseInt(command.get(3)));
		if (command.size() > 4) {
			assertThat(response.headers().firstValue("Radishthread-Outcome")).contains(command.get(4));
		}
	}

	// Starts an upload that sends about 16 chunks per second.
	private CompletableFuture<HttpResponse<String>> beginUpload(String instance, int chunkCount) {
		InputStream slowBody = new InputStream() {

			private long remainingBytes = (long) chunkCount * UPLOAD_CHUNK_BYTES;

			@Override
			public int read() {
				throw new UnsupportedOperationException("Reads of single bytes are not supported.");
			}

			@Override
			public int read(byte[] buffer, int offset, int length) {
				if (this.remainingBytes == 0) {
					return -1;
				}
				try {
					TimeUnit.MILLISECONDS.sleep(15);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				int count = (int) Math.min(Math.min(length, 16 * 1024), this.remainingBytes);
				Arrays.fill(buffer, offset, offset + count, "x".getBytes(StandardCharsets.US_ASCII)[0]);
				this.remainingBytes -= count;
				return count;
			}

		};
		return this.httpClient.sendAsync(newCallerRequest(instance, "/harvest/room")
			.POST(HttpRequest.BodyPublishers.ofInputStream(() -> slowBody))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	private void stopAll() throws Exception {
		this.announcers.values().forEach(Announcer::stop);
		for (InstanceProcess instance : this.instances.values()) {
			if (instance.isRunning()) {
				instance.kill();
			}
		}
		for (StandInRelay relay : this.relays.values()) {
			relay.stop();
		}
		for (RawUpstream upstream : this.rawUpstreams) {
			upstream.stop();
		}
		for (StandInUpstream upstream : this.upstreams.values()) {
			upstream.stopServing();
		}
	}

}
