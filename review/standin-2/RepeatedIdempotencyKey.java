package org.radishthread.platform.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Checks that each request is answered by its own run where clients send a header
 * {@code Idempotency-Key}, which the platform does not define. Two clients claim the same
 * shift, one after the other, each by a request with an id of its own. Exits with 1 if
 * the rule was broken, 0 if it held and 2 if the case could not run.
 */
final class RepeatedIdempotencyKey {

	private static final int SHIFTS = 10;

	private static final String CONFIGURATION = """
			{"version":"00000007","routes":[{"name":"r-1","host":"callers.example","path_prefix":"/swap/","kind":"unsafe",\
			"timeout_ms":2000,"slo_ms":500,"priority":1,"service":"swapdesk","max_attempts":2}],\
			"services":[{"name":"swapdesk","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}],\
			"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,\
			"idle_timeout_ms":15000}}""";

	private RepeatedIdempotencyKey() {
	}

	public static void main(String[] arguments) {
		int exitCode;
		try (RunLog log = new RunLog(Path.of(arguments[0]))) {
			exitCode = run(log, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			ex.printStackTrace();
			exitCode = 2;
		}
		System.exit(exitCode);
	}

	private static int run(RunLog log, boolean trouble) throws Exception {
		try (ReviewDeployment review = new ReviewDeployment(log, 2)) {
			review.start(CONFIGURATION);
			List<InetSocketAddress> gateways = review.gateways()
				.stream()
				.map(review.deployment()::callerAddress)
				.toList();
			try (ReviewTarget target = new ReviewTarget(log, review.controlAddresses(), "swapdesk", "i-1")) {
				for (InetSocketAddress gateway : gateways) {
					review.await(gateway + " serves",
							() -> send(log, gateway, "first-" + log.nowMillis(), "/swap/0", "").startsWith("200"));
				}
				return compare(log, target, gateways, trouble);
			}
		}
	}

	private static int compare(RunLog log, ReviewTarget target, List<InetSocketAddress> gateways, boolean trouble)
			throws InterruptedException {
		int broken = 0;
		for (int shift = 1; shift <= SHIFTS; shift++) {
			String key = trouble ? "Idempotency-Key: claim-of-shift-" + shift + "\r\n" : "";
			for (int picker = 0; picker < 2; picker++) {
				String requestId = "shift-" + shift + "-picker-" + picker;
				String answer = send(log, gateways.get(picker), requestId, "/swap/" + shift,
						"Cookie: picker=" + picker + "\r\n" + key);
				Set<String> runs = target.runs().stream().map(ReviewTarget.Run::requestId).collect(Collectors.toSet());
				boolean ran = runs.contains(requestId);
				log.write("%s: answered '%s', ran: %s", requestId, answer, ran);
				// The seal of the target's answer to this request.
				boolean sealed = answer.startsWith("200 seal s-" + requestId + " ");
				broken += (answer.startsWith("200") && !sealed) ? 1 : 0;
			}
		}
		log.write("%d of %d requests got a success without the seal of an answer to them", broken, 2 * SHIFTS);
		return (broken > 0) ? 1 : 0;
	}

	// Returns the status, and for a success the seal and the id of the answer.
	private static String send(RunLog log, InetSocketAddress gateway, String requestId, String path, String headers) {
		String body = "{\"claim\":true}";
		log.write("%s is sent to %s", requestId, gateway);
		try (Socket socket = new Socket()) {
			socket.connect(gateway, 1_000);
			socket.setSoTimeout(4_000);
			socket.getOutputStream()
				.write(("POST " + path + " HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: " + requestId
						+ "\r\nX-Deadline-Ms: 2000\r\n" + headers + "Connection: close\r\nContent-Length: "
						+ body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			if (answer.length() < 12) {
				return "none";
			}
			String status = answer.substring(9, 12);
			return status.equals("200")
					? status + " seal " + header(answer, "x-response-seal") + " id " + header(answer, "x-request-id")
					: status;
		}
		catch (IOException ex) {
			return "none";
		}
	}

	private static String header(String answer, String name) {
		return answer.lines()
			.takeWhile((line) -> !line.isEmpty())
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
			.map((line) -> line.substring(name.length() + 1).strip())
			.findFirst()
			.orElse("none");
	}

}
