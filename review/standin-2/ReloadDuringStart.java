package org.radishthread.platform.faults;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that no process ends by itself when the platform changes its settings and sends
 * it SIGHUP while it starts. The platform starts a process that has ended again after a
 * short delay. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could
 * not run.
 */
final class ReloadDuringStart {

	private static final String CONFIGURATION = """
			{"version":"00000007","routes":[{"name":"r-1","host":"callers.example","path_prefix":"/rota/","kind":"safe",\
			"timeout_ms":1500,"slo_ms":500,"priority":1,"service":"rotaboard","max_attempts":2}],\
			"services":[{"name":"rotaboard","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}],\
			"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,\
			"idle_timeout_ms":15000}}""";

	private static final int RELOADS = 6;

	private static final int RESTART_DELAY_MILLIS = 500;

	// The start of a process takes some hundred milliseconds without a limit on its share
	// of the processor, and more with one.
	private static final int SIGNAL_DELAY_MILLIS = 150;

	private static final int POLL_MILLIS = 10;

	// An end within a second of a disruption is excused.
	private static final int EXCUSED_MILLIS = 1_000;

	private static final int CALM_MILLIS = 4_000;

	private static final int ALLOWED_ENDS = 2;

	private ReloadDuringStart() {
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
		Map<String, Integer> ends = new HashMap<>();
		try (ReviewDeployment review = new ReviewDeployment(log, 4)) {
			review.start(CONFIGURATION);
			Thread.sleep(CALM_MILLIS);
			List<Instance> gateways = review.gateways().subList(0, 2);
			// Planned work: the only disturbance by the platform. An end within a second
			// of it does not count.
			for (Instance gateway : gateways) {
				log.write("planned stop of %s", gateway);
				gateway.terminate();
			}
			review.await("both have stopped", () -> gateways.stream().noneMatch(Instance::isRunning));
			gateways.forEach((gateway) -> gateway.start(false));
			long startedMillis = log.nowMillis();
			for (int reload = 1; reload <= RELOADS; reload++) {
				Thread.sleep(SIGNAL_DELAY_MILLIS);
				for (Instance gateway : gateways) {
					if (trouble) {
						log.write("SIGHUP to %s", gateway);
						gateway.signal("HUP");
					}
				}
				Map<Instance, Long> endedMillis = new HashMap<>();
				long untilMillis = log.nowMillis() + RESTART_DELAY_MILLIS;
				while (log.nowMillis() < untilMillis) {
					for (Instance gateway : gateways) {
						if (gateway.hasEndedByItself()) {
							endedMillis.putIfAbsent(gateway, log.nowMillis());
						}
					}
					Thread.sleep(POLL_MILLIS);
				}
				endedMillis.forEach((gateway, millis) -> {
					boolean excused = millis - startedMillis <= EXCUSED_MILLIS;
					log.write("%s ended by itself at %d, %d ms after its planned start%s; the platform starts it again",
							gateway, millis, millis - startedMillis, excused ? " (excused)" : "");
					ends.merge(gateway.name(), excused ? 0 : 1, Integer::sum);
					gateway.start(false);
				});
			}
			for (Instance gateway : gateways) {
				var ready = review.deployment().readinessAddress(gateway);
				review.await(gateway + " is ready again", () -> review
					.call(ready.getHostString() + ':' + ready.getPort(), "GET", "/readiness", "") == 200);
			}
		}
		log.write("ends by themselves, without those within a second of the planned start: %s", ends);
		boolean broken = ends.values().stream().filter((count) -> count > ALLOWED_ENDS).count() >= 2;
		return broken ? 1 : 0;
	}

}
