import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients send paths that begin with two slashes to a route whose prefix is one slash.
 * Checks that the target gets the path of each request as it was sent.
 */
final class DoubleSlash {

	private static final int REQUESTS = 60;

	private static final int TIME_LIMIT_MILLIS = 1_000;

	private static final List<String> SLOTS = List.of("rooms/7/tally", "swap/12", "leny950/2f?day=4");

	private DoubleSlash() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, DoubleSlash::play);
	}

	private static boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
		Map<String, Queue<String>> runPaths = new ConcurrentHashMap<>();
		Server.Behaviour behaviour = (server, request, socket) -> {
			runPaths.computeIfAbsent(request.id(), (id) -> new ConcurrentLinkedQueue<>())
				.add(request.method() + ' ' + request.path());
			record.write("target %s runs %s: %s %s", server.id, request.id(), request.method(), request.path());
			Server.answer(socket, request, ("ran " + request.path()).getBytes(StandardCharsets.ISO_8859_1));
			return true;
		};
		for (int i = 0; i < 3; i++) {
			new Server(deployment, record, "swapdesk", behaviour);
		}
		Case.begin(deployment, List.of(new Config.Route("all", "/", "unsafe", TIME_LIMIT_MILLIS, "swapdesk")));
		Thread.sleep(4_000);
		int changedCount = 0;
		for (int i = 1; i <= REQUESTS; i++) {
			String id = String.format("%08x", i);
			String path = ((trouble && i % 2 == 0) ? "//" : "/") + SLOTS.get(i % SLOTS.size());
			String gateway = deployment.gateways().get(i / 2 % 2);
			Caller.Answer answer = Caller.send(deployment.front(gateway), "POST", Config.HOST, path, id,
					TIME_LIMIT_MILLIS, new byte[40]);
			record.write("request %s to %s: POST %s, status %d, %s", id, gateway, path, answer.status(),
					new String(answer.body(), StandardCharsets.ISO_8859_1));
			for (String runPath : runPaths.getOrDefault(id, new ConcurrentLinkedQueue<>())) {
				changedCount += runPath.equals("POST " + path) ? 0 : 1;
			}
		}
		record.write("%d of %d requests were run with a path that their client had not sent", changedCount, REQUESTS);
		return changedCount == 0;
	}

}
