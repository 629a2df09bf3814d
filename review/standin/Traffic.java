import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Sends requests at a fixed rate to the gateways in turn, and keeps what was answered. */
final class Traffic {

	private static final int MAXIMUM_CALLERS = 400;

	/** A request of a client, with what it got. */
	record Sent(String id, String gateway, long sentMillis, Config.Route route, Caller.Answer answer) {

		boolean isServed() {
			return this.answer.status() == 200 && this.answer.complete();
		}

	}

	private final Deployment deployment;

	private final Record record;

	private final List<Config.Route> routes;

	private final int timeLimitMillis;

	private final byte[] body;

	private final Queue<Sent> requests = new ConcurrentLinkedQueue<>();

	private final ExecutorService callers = Executors.newFixedThreadPool(MAXIMUM_CALLERS);

	private final Thread thread;

	private volatile boolean stopped;

	Traffic(Deployment deployment, Record record, List<Config.Route> routes, int timeLimitMillis, int intervalMillis,
			byte[] body) {
		this.deployment = deployment;
		this.record = record;
		this.routes = routes;
		this.timeLimitMillis = timeLimitMillis;
		this.body = body;
		this.thread = new Thread(() -> run(intervalMillis));
		this.thread.start();
	}

	static long nowMillis() {
		return System.nanoTime() / 1_000_000;
	}

	private void run(int intervalMillis) {
		List<String> gateways = this.deployment.gateways();
		for (int i = 0; !this.stopped; i++) {
			String id = String.format("%08x", i + 1);
			Config.Route route = this.routes.get(i % this.routes.size());
			String gateway = gateways.get(i / this.routes.size() % gateways.size());
			this.callers.submit(() -> send(id, gateway, route));
			Server.sleep(intervalMillis);
		}
	}

	private void send(String id, String gateway, Config.Route route) {
		boolean safe = route.kind().equals("safe");
		long sentMillis = nowMillis();
		Caller.Answer answer = Caller.send(this.deployment.front(gateway), safe ? "GET" : "POST", Config.HOST,
				route.prefix() + id, id, this.timeLimitMillis, safe ? null : this.body);
		this.requests.add(new Sent(id, gateway, sentMillis, route, answer));
		this.record.write("request %s %s to %s: status %d, %s, %d bytes, %d ms", id, route.name(), gateway,
				answer.status(), answer.ending(), answer.body().length, answer.millis());
	}

	/** Stops sending, and returns all requests once each has its answer or its time limit has passed. */
	List<Sent> stop() throws InterruptedException {
		this.stopped = true;
		this.thread.join();
		this.callers.shutdown();
		this.callers.awaitTermination(this.timeLimitMillis + 2_000, TimeUnit.MILLISECONDS);
		return List.copyOf(this.requests);
	}

}
