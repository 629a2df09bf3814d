import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A target deregisters, all processes are killed and start again, and a heartbeat that the
 * target sent before arrives late. Checks that the target gets no request any more.
 */
final class LateHeartbeat {

	private static final long DRAIN_MILLIS = 2_000;

	private static final long STABLE_WINDOW_MILLIS = 3_000;

	private static final long TOLERANCE_MILLIS = 500;

	// From the confirmation until the target that left exits.
	private static final long SERVING_MILLIS = 14_000;

	private static final long HEARTBEAT_DELAY_MILLIS = 4_000;

	private static final int WORK_MILLIS = 210;

	private static final int TIME_LIMIT_MILLIS = 2_500;

	private LateHeartbeat() {
	}

	public static void main(String[] arguments) {
		Case.run(arguments, LateHeartbeat::play);
	}

	private static boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
		Map<String, String> runBy = new ConcurrentHashMap<>();
		Server.Behaviour behaviour = (server, request, socket) -> run(record, runBy, server, request, socket);
		Server leaving = new Server(deployment, record, "swapdesk", behaviour);
		for (int i = 0; i < 2; i++) {
			new Server(deployment, record, "swapdesk", behaviour);
		}
		List<Config.Route> routes = List.of(new Config.Route("swap", "/swap/", "unsafe", TIME_LIMIT_MILLIS, "swapdesk"));
		Case.begin(deployment, routes);
		Traffic traffic = new Traffic(deployment, record, routes, TIME_LIMIT_MILLIS, 40, new byte[1_200]);
		Thread.sleep(5_000);
		String lateHeartbeat = leaving.newHeartbeat();
		long heartbeatMillis = Traffic.nowMillis();
		record.write("target %s sends a heartbeat that is delayed, and deregisters", leaving.id);
		if (!leaving.deregister()) {
			throw new IllegalStateException("The deregistration of target " + leaving.id + " was not confirmed.");
		}
		long confirmedMillis = Traffic.nowMillis();
		record.write("the deregistration of %s is confirmed", leaving.id);
		Thread.sleep(500);
		if (trouble) {
			deployment.killAndStartAll(500);
		}
		long startedMillis = Traffic.nowMillis();
		sleepUntil(heartbeatMillis + HEARTBEAT_DELAY_MILLIS);
		record.write("the late heartbeat of %s arrives; confirmed: %s", leaving.id,
				leaving.sendHeartbeat(lateHeartbeat));
		sleepUntil(confirmedMillis + SERVING_MILLIS);
		leaving.exit();
		record.write("target %s exits", leaving.id);
		Thread.sleep(2_000);
		return judge(record, traffic.stop(), runBy, leaving.id,
				Math.max(confirmedMillis + DRAIN_MILLIS, startedMillis + STABLE_WINDOW_MILLIS) + TOLERANCE_MILLIS);
	}

	private static boolean run(Record record, Map<String, String> runBy, Server server, Server.Request request,
			Socket socket) throws Exception {
		runBy.put(request.id(), server.id);
		record.write("target %s runs %s", server.id, request.id());
		Server.sleep(WORK_MILLIS);
		Server.answer(socket, request, ("answer to " + request.id()).getBytes(StandardCharsets.ISO_8859_1));
		return true;
	}

	private static void sleepUntil(long millis) throws InterruptedException {
		Thread.sleep(Math.max(0, millis - Traffic.nowMillis()));
	}

	private static boolean judge(Record record, List<Traffic.Sent> requests, Map<String, String> runBy, String leavingId,
			long judgedFromMillis) {
		List<Traffic.Sent> judged = requests.stream().filter((sent) -> sent.sentMillis() > judgedFromMillis).toList();
		List<Traffic.Sent> broken = judged.stream().filter((sent) -> leavingId.equals(runBy.get(sent.id()))).toList();
		record.write("%d requests are judged; %d reached the target that left, %d of these were not served", judged.size(),
				broken.size(), broken.stream().filter((sent) -> !sent.isServed()).count());
		return broken.isEmpty();
	}

}
