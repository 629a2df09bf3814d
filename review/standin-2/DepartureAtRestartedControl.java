package org.radishthread.platform.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks that requests end at a target that has deregistered at a control instance which
 * restarted while it was cut off from all others. Exits with 1 if the rule was broken, 0
 * if it held and 2 if the case could not run.
 */
final class DepartureAtRestartedControl {

	private static final long DRAIN_MILLIS = 2_000;

	private static final long STABLE_WINDOW_MILLIS = 3_000;

	// The longest cut of the standard days of brazos-rota takes 6.73 s.
	private static final long CUT_MILLIS = 6_500;

	// For the time between the start of a process and its entry in the log.
	private static final long MARGIN_MILLIS = 200;

	private static final String CONFIGURATION = """
			{"version":"00000007","routes":[{"name":"r-1","host":"callers.example","path_prefix":"/rota/","kind":"safe",\
			"timeout_ms":1500,"slo_ms":500,"priority":1,"service":"rotaboard","max_attempts":2}],\
			"services":[{"name":"rotaboard","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}],\
			"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,\
			"idle_timeout_ms":15000}}""";

	private DepartureAtRestartedControl() {
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
		List<ReviewTarget> targets = new ArrayList<>();
		try (ReviewDeployment review = new ReviewDeployment(log, 3)) {
			review.start(CONFIGURATION);
			List<String> others = review.controlAddresses().subList(0, 4);
			for (int i = 1; i <= 3; i++) {
				targets.add(new ReviewTarget(log, others, "rotaboard", "i-" + i));
			}
			ReviewClients clients = new ReviewClients(log);
			for (Instance gateway : review.gateways()) {
				var address = review.deployment().callerAddress(gateway);
				review.await(gateway + " serves", () -> clients.send(gateway.name(), address, "/rota/first") == 200);
				clients.start(gateway, address, "/rota/week", 10);
			}
			Thread.sleep(STABLE_WINDOW_MILLIS + 1_000);
			Instance control = review.controls().get(4);
			String controlAddress = review.deployment().operatorAddress(control);
			long beginMillis = log.nowMillis();
			long calmMillis = beginMillis;
			if (trouble) {
				review.setCutOff(control, true);
				log.write("kill and restart of %s", control);
				control.kill();
				control.start(false);
				calmMillis = log.nowMillis() + STABLE_WINDOW_MILLIS + MARGIN_MILLIS;
			}
			review.await(control + " answers",
					() -> review.call(controlAddress, "GET", "/config/get", "") != 0);
			List<String> order = new ArrayList<>(List.of(controlAddress));
			order.addAll(others);
			ReviewTarget leaving = targets.get(0);
			long confirmedMillis = leaving.deregister(order);
			Thread.sleep(Math.max(0, beginMillis + CUT_MILLIS - log.nowMillis()));
			long endMillis = log.nowMillis();
			Map<String, ReviewClients.Sent> sent = clients.stop();
			if (trouble) {
				review.setCutOff(control, false);
			}
			return check(log, targets, sent, confirmedMillis, calmMillis, endMillis);
		}
		finally {
			for (ReviewTarget target : targets) {
				target.close();
			}
		}
	}

	// Only requests that were sent and ran while the gateways were in touch count.
	private static int check(RunLog log, List<ReviewTarget> targets, Map<String, ReviewClients.Sent> sent,
			long confirmedMillis, long calmMillis, long endMillis) {
		long fromMillis = Math.max(confirmedMillis + DRAIN_MILLIS, calmMillis);
		int served = 0;
		int late = 0;
		for (ReviewClients.Sent request : sent.values()) {
			served += (request.status() == 200) ? 1 : 0;
		}
		for (ReviewTarget target : targets) {
			log.write("%s ran %d requests", target.id(), target.runs().size());
		}
		for (ReviewTarget.Run run : targets.get(0).runs()) {
			ReviewClients.Sent request = sent.get(run.requestId());
			if (request != null && request.sentMillis() > fromMillis && run.atMillis() < endMillis) {
				late++;
				log.write("request %s, sent to %s at %d, ran at %s at %d: %d ms after the confirmation",
						run.requestId(), request.gateway(), request.sentMillis(), targets.get(0).id(), run.atMillis(),
						run.atMillis() - confirmedMillis);
			}
		}
		log.write("sent %d, answered with 200 %d; confirmed at %d, judged from %d to %d: %d late requests",
				sent.size(), served, confirmedMillis, fromMillis, endMillis, late);
		if (served < sent.size() / 2 || endMillis <= fromMillis) {
			return 2;
		}
		return (late > 0) ? 1 : 0;
	}

}
