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
 * Runs a script: one step a line, a verb and its words; {@code #} starts a comment. The
 * verbs are the cases of {@link #step}. {@code eventually} in front of a step repeats it
 * until it holds.
 */
final class Scenario {

	private static final long PATIENCE_NANOS = 40_000_000_000L;

	private static final int UPLOAD_CHUNK_BYTES = 64 * 1024;

	private static final String TOKEN = "token-of-scenarios";

	private final Path folder;

	private final Map<String, InstanceProcess> instances = new LinkedHashMap<>();

	private final Map<String, StandInUpstream> upstreams = new LinkedHashMap<>();

	private final Map<String, StandInRelay> relays = new LinkedHashMap<>();

	private final List<RawUpstream> rawUpstreams = new ArrayList<>();

	private final Map<String, Announcer> announcers = new LinkedHashMap<>();

	private final Map<String, CompletableFuture<HttpResponse<String>>> pending = new LinkedHashMap<>();

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

	Scenario(Path folder) {
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

	private void runLine(int number, String line) throws Exception {
		try {
			List<String> words = Arrays.asList(line.split("\\s+"));
			if (words.get(0).equals("eventually")) {
				eventually(() -> step(words.subList(1, words.size())));
			}
			else {
				step(words);
			}
		}
		catch (AssertionError ex) {
			throw new AssertionError("Line " + number + ": " + line + '\n' + ex.getMessage(), ex);
		}
	}

	private static void eventually(Callable<Void> step) throws Exception {
		long deadline = System.nanoTime() + PATIENCE_NANOS;
		while (true) {
			try {
				step.call();
				return;
			}
			catch (AssertionError | IOException ex) {
				if (System.nanoTime() > deadline) {
					throw new AssertionError("It never held: " + ex.getMessage(), ex);
				}
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
	}

	private Void step(List<String> words) throws Exception {
		String first = (words.size() > 1) ? words.get(1) : "";
		switch (words.get(0)) {
			case "instances" -> startInstances(Integer.parseInt(first));
			case "found" -> operate("POST", "/control/initialize",
					"{\"instances\":[\"" + String.join("\",\"", this.instances.keySet()) + "\"]}", 200);
			case "replace" -> operate("POST", "/control/replace", "{\"instance\":\"" + first + "\"}", 200);
			case "start" -> instance(first).start();
			case "kill" -> instance(first).kill();
			case "freeze" -> instance(first).signal("STOP");
			case "thaw" -> instance(first).signal("CONT");
			case "terminate" -> instance(first).signal("TERM");
			case "ended" -> assertThat(instance(first).awaitEnd()).as("%s ended", first).isTrue();
			case "lose-disk" -> instance(first).loseDisk();
			case "wait" -> TimeUnit.MILLISECONDS.sleep(Long.parseLong(first));
			case "upstream" -> startUpstream(first, words.get(2), Long.parseLong(words.get(3)));
			case "relayed-upstream" -> startRelayed(first, words.get(2), Long.parseLong(words.get(3)));
			case "raw-upstream" -> startRaw(first, words.get(2), RawUpstream.Answer.valueOf(words.get(3)));
			case "never" -> never(words);
			case "lose-track" -> this.relays.get(first).loseTrack();
			case "fault" -> this.upstreams.get(first).setFault(StandInUpstream.Fault.valueOf(words.get(2)));
			case "announce" -> this.announcers.get(first).changeState(words.get(2));
			case "silence" -> this.announcers.get(first).fallSilent();
			case "rules" -> submitRules(words);
			case "revision" -> assertThat(revisionAt(instance(words.get(2)))).isEqualTo(Integer.parseInt(first));
			case "ready" -> assertThat(isReady(instance(first))).as("%s ready", first).isTrue();
			case "not-ready" -> assertThat(isReady(instance(first))).as("%s ready", first).isFalse();
			case "read" -> read(words);
			case "reads" -> readMany(words);
			case "swap" -> swap(words);
			case "begin-swap" -> this.pending.put(words.get(2), beginSwap(first, words.get(2)));
			case "begin-upload" -> this.pending.put(words.get(2), beginUpload(first, Integer.parseInt(words.get(3))));
			case "answer" -> assertThat(this.pending.get(first).get(60, TimeUnit.SECONDS).statusCode())
				.isEqualTo(Integer.parseInt(words.get(2)));
			case "runs" -> assertThat(runs(first)).isEqualTo(Integer.parseInt(words.get(2)));
			case "runs-at-most" -> assertThat(runs(first)).isLessThanOrEqualTo(Integer.parseInt(words.get(2)));
			case "received" ->
				assertThat(this.upstreams.get(first).receivedBytes()).isEqualTo(Long.parseLong(words.get(2)));
			case "abandon" -> this.pending.get(first).cancel(true);
			case "stop-upstream" -> this.upstreams.get(first).stopServing();
			case "answered" ->
				assertThat(this.upstreams.get(first).answered()).isEqualTo(Integer.parseInt(words.get(2)));
			case "requests-stay" -> requestsStay(first);
			default -> throw new IllegalArgumentException("Unknown verb '" + words.get(0) + "'.");
		}
		return null;
	}

	// Instances

	private InstanceProcess instance(String name) {
		return this.instances.get(name);
	}

	private void startInstances(int count) throws IOException {
		for (String secret : List.of("peer", "administration", "announcement")) {
			Files.writeString(this.folder.resolve(secret + ".token"), TOKEN);
		}
		for (int i = 1; i <= count; i++) {
			this.instances.put("i" + i, new InstanceProcess("i" + i, this.folder));
		}
		List<String> seeds = this.instances.values().stream().map((it) -> "127.0.0.1:" + it.peerPort).toList();
		for (InstanceProcess instance : this.instances.values()) {
			instance.configure("zone-" + instance.name, seeds);
			instance.start();
		}
	}

	private InstanceProcess anyRunning() {
		return this.instances.values().stream().filter(InstanceProcess::isRunning).findFirst().orElseThrow();
	}

	private HttpRequest.Builder administration(InstanceProcess instance, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + instance.administration() + path))
			.timeout(Duration.ofSeconds(25))
			.header("Authorization", "Bearer " + TOKEN);
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private void operate(String method, String path, String body, int expected)
			throws IOException, InterruptedException {
		HttpResponse<String> answer = send(
				administration(anyRunning(), path).method(method, HttpRequest.BodyPublishers.ofString(body)));
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(expected);
	}

	private boolean isReady(InstanceProcess instance) throws InterruptedException {
		try {
			return send(administration(instance, "/health/ready").timeout(Duration.ofSeconds(2))).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private int revisionAt(InstanceProcess instance) throws IOException, InterruptedException {
		String body = send(administration(instance, "/rules")).body();
		return Integer.parseInt(body.replaceAll("(?s).*\"revision\":(\\d+).*", "$1"));
	}

	// rules REVISION VARIANT INSTANCE STATUS
	private void submitRules(List<String> words) throws IOException, InterruptedException {
		String asked = "   # asked by " + words.get(2) + ", 2026-12-01\n";
		String content = "revision " + words.get(1) + asked + "route swapdesk GET /swaps/** timeout=3s" + asked
				+ "route swapdesk POST /swaps/** once timeout=3s" + asked
				+ "route tallybin POST /harvest/** upload timeout=30s" + asked;
		HttpResponse<String> answer = send(
				administration(instance(words.get(3)), "/rules").POST(HttpRequest.BodyPublishers.ofString(content)));
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(Integer.parseInt(words.get(4)));
	}

	// Upstreams

	private void startUpstream(String name, String service, long millis) throws Exception {
		StandInUpstream upstream = new StandInUpstream(0, 3, millis).startServing();
		this.upstreams.put(name, upstream);
		announce(name, service, upstream.address());
	}

	private void startRelayed(String name, String service, long millis) throws Exception {
		StandInUpstream upstream = new StandInUpstream(0, 3, millis).startServing();
		this.upstreams.put(name, upstream);
		StandInRelay relay = new StandInRelay(upstream.port()).start();
		this.relays.put(name, relay);
		announce(name, service, relay.address());
	}

	private void startRaw(String name, String service, RawUpstream.Answer answer) throws IOException {
		RawUpstream upstream = new RawUpstream(answer).start();
		this.rawUpstreams.add(upstream);
		announce(name, service, upstream.address());
	}

	private void announce(String name, String service, String address) {
		List<String> targets = this.instances.values().stream().map(InstanceProcess::administration).toList();
		this.announcers.put(name, new Announcer(targets, TOKEN, name, service, address, "zone-i1", 3).start());
	}

	private int runs(String key) {
		return this.upstreams.values().stream().mapToInt((upstream) -> upstream.runsOf(key)).sum();
	}

	private void requestsStay(String upstream) throws InterruptedException {
		int before = this.upstreams.get(upstream).requests();
		TimeUnit.MILLISECONDS.sleep(300);
		assertThat(this.upstreams.get(upstream).requests()).as("requests at %s", upstream).isEqualTo(before);
	}

	// Calls

	private HttpRequest.Builder call(String instance, String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + instance(instance).callerPort + path))
			.timeout(Duration.ofSeconds(50));
	}

	// read INSTANCE STATUS
	private void read(List<String> words) throws IOException, InterruptedException {
		HttpResponse<String> answer = send(call(words.get(1), "/swaps/today"));
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(Integer.parseInt(words.get(2)));
		if (answer.statusCode() == 200) {
			assertThat(answer.body()).isEqualTo("GET /swaps/today bytes=0\n");
		}
	}

	// reads INSTANCE COUNT: all at once, each must get its own whole answer
	private void readMany(List<String> words) throws Exception {
		List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
		for (int i = 0; i < Integer.parseInt(words.get(2)); i++) {
			answers.add(this.client.sendAsync(call(words.get(1), "/swaps/" + i).build(),
					HttpResponse.BodyHandlers.ofString()));
		}
		for (int i = 0; i < answers.size(); i++) {
			HttpResponse<String> answer = answers.get(i).get(60, TimeUnit.SECONDS);
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("GET /swaps/" + i + " bytes=0\n");
		}
	}

	// never INSTANCE TEXT COUNT: no answer holds the text, however often one asks
	private void never(List<String> words) throws IOException, InterruptedException {
		for (int i = 0; i < Integer.parseInt(words.get(3)); i++) {
			HttpResponse<String> answer = send(call(words.get(1), "/swaps/" + i));
			assertThat(answer.body()).doesNotContain(words.get(2));
		}
	}

	private CompletableFuture<HttpResponse<String>> beginSwap(String instance, String key) {
		return this.client.sendAsync(call(instance, "/swaps/7").header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("room=7"))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	// swap INSTANCE KEY STATUS [OUTCOME]
	private void swap(List<String> words) throws Exception {
		HttpResponse<String> answer = beginSwap(words.get(1), words.get(2)).get(60, TimeUnit.SECONDS);
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(Integer.parseInt(words.get(3)));
		if (words.size() > 4) {
			assertThat(answer.headers().firstValue("Radishthread-Outcome")).contains(words.get(4));
		}
	}

	// An upload that takes about a second for each sixteen chunks.
	private CompletableFuture<HttpResponse<String>> beginUpload(String instance, int chunks) {
		InputStream slow = new InputStream() {

			private long left = (long) chunks * UPLOAD_CHUNK_BYTES;

			@Override
			public int read() {
				throw new UnsupportedOperationException("Only whole chunks are read.");
			}

			@Override
			public int read(byte[] buffer, int offset, int length) {
				if (this.left == 0) {
					return -1;
				}
				try {
					TimeUnit.MILLISECONDS.sleep(15);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				int count = (int) Math.min(Math.min(length, 16 * 1024), this.left);
				Arrays.fill(buffer, offset, offset + count, "x".getBytes(StandardCharsets.US_ASCII)[0]);
				this.left -= count;
				return count;
			}

		};
		return this.client.sendAsync(
				call(instance, "/harvest/room").POST(HttpRequest.BodyPublishers.ofInputStream(() -> slow)).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private void stopAll() throws Exception {
		this.announcers.values().forEach(Announcer::fallSilent);
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
