package org.radishthread.platform.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks that control instances go on running while operators change a configuration that
 * has grown by many routes, up to eight orders at once. The platform starts a process
 * that has ended again. Exits with 1 if the rule was broken, 0 if it held and 2 if the
 * case could not run.
 */
final class ConcurrentLargeConfigurations {

	private static final int ORDERS_AT_ONCE = 8;

	private static final int FIRST_ROUTES = 12;

	// The largest growth that a site file names at once.
	private static final int ADDED_ROUTES = 1_560;

	private static final int GROWTHS = 4;

	// What the rule allows in a day.
	private static final int ALLOWED_ENDS = 2;

	private static final int CHANGES = 900;

	private static final long DURATION_MILLIS = 85_000;

	private ConcurrentLargeConfigurations() {
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

	private static String configuration(long version, int routeCount) {
		StringBuilder routes = new StringBuilder();
		for (int i = 0; i < routeCount; i++) {
			routes.append((i > 0) ? "," : "")
				.append(String.format(
						"{\"name\":\"r-%07x\",\"host\":\"hulo%d.example\",\"path_prefix\":\"/leny%d/\",\"kind\":\"safe\","
								+ "\"timeout_ms\":%d,\"slo_ms\":400,\"priority\":2,\"service\":\"huvo11a\","
								+ "\"max_attempts\":2}",
						i * 7919, i % 40, i, 1_000 + (version * 31 + i) % 900));
		}
		return String.format("{\"version\":\"%08x\",\"routes\":[%s],\"services\":[{\"name\":\"huvo11a\","
				+ "\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\",\"tls\":false}],\"limits\":"
				+ "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
				+ "\"idle_timeout_ms\":15000}}", version, routes);
	}

	private static int run(RunLog log, boolean trouble) throws Exception {
		try (ReviewDeployment review = new ReviewDeployment(log, 2)) {
			review.start(configuration(1, FIRST_ROUTES));
			AtomicLong version = new AtomicLong(1);
			int routeCount = FIRST_ROUTES;
			for (int growth = 0; trouble && growth < GROWTHS; growth++) {
				routeCount += ADDED_ROUTES;
				order(review, log, new Random(growth), configuration(version.incrementAndGet(), routeCount), Long.MAX_VALUE);
			}
			log.write("the configuration has %d routes and %d bytes", routeCount,
					configuration(1, routeCount).length());
			AtomicInteger confirmed = new AtomicInteger();
			long endMillis = log.nowMillis() + DURATION_MILLIS;
			int finalRouteCount = routeCount;
			List<Thread> operators = new ArrayList<>();
			for (int i = 0; i < ORDERS_AT_ONCE; i++) {
				Random random = new Random(i);
				Thread operator = new Thread(() -> {
					while (log.nowMillis() < endMillis && version.get() < CHANGES) {
						String body = configuration(version.incrementAndGet(), finalRouteCount);
						confirmed.addAndGet(order(review, log, random, body, endMillis) ? 1 : 0);
					}
				});
				operator.start();
				operators.add(operator);
			}
			Map<String, Integer> ends = new TreeMap<>();
			while (log.nowMillis() < endMillis) {
				for (Instance instance : review.deployment().all()) {
					if (instance.hasEndedByItself()) {
						ends.merge(instance.name(), 1, Integer::sum);
						log.write("%s has ended by itself; the platform starts it again", instance);
						instance.start(false);
					}
				}
				Thread.sleep(100);
			}
			for (Thread operator : operators) {
				operator.join();
			}
			log.write("%d changes confirmed; ends by themselves: %s", confirmed.get(), ends);
			int allEnds = ends.values().stream().mapToInt(Integer::intValue).sum();
			return (allEnds > ALLOWED_ENDS && ends.size() >= 2) ? 1 : 0;
		}
	}

	// Sends an order to one instance after the other until the response is clear. Returns
	// whether it is confirmed.
	private static boolean order(ReviewDeployment review, RunLog log, Random random, String body, long endMillis) {
		int delayMillis = 50;
		while (log.nowMillis() < endMillis) {
			String control = review.controlAddresses().get(random.nextInt(5));
			int status = review.call(control, "POST", "/config/replace", body);
			log.write("order of %s at %s: status %d", body.substring(12, 20), control, status);
			if (status == 200) {
				return true;
			}
			try {
				Thread.sleep(delayMillis);
			}
			catch (InterruptedException ex) {
				return false;
			}
			delayMillis = Math.min(800, 2 * delayMillis);
		}
		return false;
	}

}
