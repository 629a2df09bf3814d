import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four targets of a service begins one in twenty of its answers with a head that
 * has no end. Checks that requests, also those to another service, get final answers in
 * time, and that the gateways go on.
 */
final class EndlessHead {

	private static final int TROUBLE_MILLIS = 20_000;

	private static final int RECOVERY_MILLIS = 15_000;

	private static final int ANSWERS_PER_ENDLESS_HEAD = 20;

	private static final long MAXIMUM_HEAD_BYTES = 200_000_000;

	private static final int TIMEOUT_MILLIS = 2_500;

	private static final int TIME_LIMIT_MILLIS = 4_000;

	private static final int SLACK_MILLIS = 500;

	// Occupies three quarters of the slots, so that each target gets its share.
	private static final int WORK_MILLIS = 210;

	private static final int MINIMUM_UNANSWERED = 8;

	private static final AtomicInteger endlessHeads = new AtomicInteger();

	private static volatile boolean troubled;

	private EndlessHead() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, EndlessHead::play);
	}

	private static boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
		List<Config.Route> routes = List.of(new Config.Route("stamp", "/stamp/", "unsafe", TIMEOUT_MILLIS, "certify"),
				new Config.Route("report", "/report/", "safe", TIMEOUT_MILLIS, "archive"));
		new Server(deployment, record, "certify", faultyBehaviour(record));
		for (int i = 0; i < 3; i++) {
			new Server(deployment, record, "certify", EndlessHead::answer);
			new Server(deployment, record, "archive", EndlessHead::answer);
		}
		Case.begin(deployment, routes);
		Traffic traffic = new Traffic(deployment, record, routes, TIME_LIMIT_MILLIS, 12, new byte[1_200]);
		Thread.sleep(5_000);
		troubled = trouble;
		Thread.sleep(TROUBLE_MILLIS);
		troubled = false;
		long endedMillis = Traffic.nowMillis();
		record.write("all targets are sound again");
		Thread.sleep(RECOVERY_MILLIS + 5_000);
		if (trouble && endlessHeads.get() == 0) {
			throw new IllegalStateException("The faulty target began 0 heads without end, at least 1 was expected.");
		}
		boolean held = judge(record, traffic.stop(), endedMillis + RECOVERY_MILLIS);
		for (String gateway : deployment.gateways()) {
			record.write("%s: process alive %s, ready %s", gateway, deployment.isAlive(gateway),
					deployment.isReady(gateway));
		}
		return held;
	}

	private static boolean answer(Server server, Server.Request request, Socket socket) throws IOException {
		Server.sleep(WORK_MILLIS);
		Server.answer(socket, request, ("answer to " + request.id()).getBytes(StandardCharsets.ISO_8859_1));
		return true;
	}

	private static Server.Behaviour faultyBehaviour(Record record) {
		AtomicInteger answers = new AtomicInteger();
		byte[] lines = "a:b\r\n".repeat(4_000).getBytes(StandardCharsets.ISO_8859_1);
		return (server, request, socket) -> {
			if (!troubled || answers.incrementAndGet() % ANSWERS_PER_ENDLESS_HEAD != 0) {
				return answer(server, request, socket);
			}
			endlessHeads.incrementAndGet();
			record.write("target %s begins a head without end for %s", server.id, request.id());
			long bytes = 0;
			try {
				socket.getOutputStream().write("HTTP/1.1 200 OK\r\n".getBytes(StandardCharsets.ISO_8859_1));
				for (; bytes < MAXIMUM_HEAD_BYTES; bytes += lines.length) {
					socket.getOutputStream().write(lines);
				}
			}
			catch (IOException ex) {
				record.write("the gateway closed after %d bytes of the head for %s", bytes, request.id());
			}
			return false;
		};
	}

	private static boolean judge(Record record, List<Traffic.Sent> requests, long recoveredMillis) {
		long longCount = requests.stream().filter((sent) -> sent.answer().millis() > TIMEOUT_MILLIS).count();
		long unansweredCount = requests.stream()
			.filter((sent) -> sent.answer().millis() > TIMEOUT_MILLIS + SLACK_MILLIS)
			.count();
		long lateCount = requests.stream().filter((sent) -> sent.sentMillis() > recoveredMillis).count();
		long servedLateCount = requests.stream()
			.filter((sent) -> sent.sentMillis() > recoveredMillis && sent.isServed())
			.count();
		boolean broken = unansweredCount >= MINIMUM_UNANSWERED && 4 * unansweredCount > longCount;
		record.write("%d requests; %d lasted over %d ms, %d of them had no final answer %d ms after it", requests.size(),
				longCount, TIMEOUT_MILLIS, unansweredCount, SLACK_MILLIS);
		record.write("%d requests were sent over %d ms after the end of the trouble, %d of them were served", lateCount,
				RECOVERY_MILLIS, servedLateCount);
		return !broken;
	}

}
