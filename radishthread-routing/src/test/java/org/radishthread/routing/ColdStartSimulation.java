package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Simulates a service in virtual time whose upstreams become cold, and gateways that
 * learn of it a little later. A cold upstream takes twice as long for a request.
 */
final class ColdStartSimulation {

	static final double RATE = 2.3;

	static final ColdStartLimits LIMITS = new ColdStartLimits(1.5, 8);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int SLOTS = 3;

	private static final long SERVICE_MILLIS = 200;

	private static final long OBJECTIVE_MILLIS = 600;

	private static final long TIMEOUT_MILLIS = 4_000;

	private static final long TICK_MILLIS = 10;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final List<ServiceRouter> routers = new ArrayList<>();

	private final List<UpstreamConstraints> constraints = new ArrayList<>();

	private final Map<String, SimulatedUpstream> upstreams = new HashMap<>();

	private final Map<Long, OpenRequest> openRequests = new HashMap<>();

	private final ServiceRule rule;

	private final Random random;

	private int home;

	private long lastSequence;

	private long lastRequestId;

	final List<Sent> sent = new ArrayList<>();

	final List<Refused> refused = new ArrayList<>();

	// The longest time until an instance learns of an announcement, in milliseconds.
	int maximumLagMillis;

	// The longest time from a grant to the arrival of the request.
	int maximumTransferMillis = 1;

	double shareWithoutHome;

	// Whether upstreams work at their usual pace and tolerate all requests while cold.
	boolean ignoresColdness;

	int servedCount;

	int servedInTimeCount;

	long nowMillis;

	ColdStartSimulation(int gatewayCount, int upstreamCount, double rate, long seed) {
		this.rule = new ServiceRule("rotaboard", 256, Duration.ofSeconds(1), 100, 0, 20, 3, null, rate);
		this.random = new Random(seed);
		for (int i = 0; i < gatewayCount; i++) {
			this.routers.add(newRouter());
			this.constraints.add(new UpstreamConstraints());
		}
		for (int i = 0; i < upstreamCount; i++) {
			this.upstreams.put("upstream-" + i, new SimulatedUpstream("upstream-" + i));
		}
		announce();
		tick();
	}

	private ServiceRouter newRouter() {
		return new ServiceRouter(this.rule, new RouterSettings("zone-0", 16, RetryLimits.DEFAULTS,
				RouterSettings.DEFAULT_PACE_PROBES_PER_SECOND, LIMITS), nowNanos());
	}

	private long nowNanos() {
		return this.nowMillis * NANOS_PER_MILLI;
	}

	void at(long millis, Runnable action) {
		this.events.add(new Event(millis, this.lastSequence++, action));
	}

	private void after(long millis, Runnable action) {
		at(this.nowMillis + millis, action);
	}

	void runUntil(long millis) {
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= millis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = millis;
	}

	private void tick() {
		for (int i = 0; i < this.routers.size(); i++) {
			if (this.routers.get(i).needsTick()) {
				execute(this.routers.get(i).tick(nowNanos()));
			}
		}
		after(TICK_MILLIS, this::tick);
	}

	void moveHome() {
		this.home = (this.home + 1) % this.routers.size();
	}

	// The home loses what it knows of cold upstreams and of its grants.
	void restartHome() {
		ServiceRouter router = newRouter();
		this.routers.set(this.home, router);
		router.updateUpstreams(announced(), nowNanos());
	}

	void makeCold(int number, long coldMillis, boolean restarted) {
		SimulatedUpstream upstream = this.upstreams.get("upstream-" + number);
		upstream.coldUntilMillis = this.nowMillis + coldMillis;
		upstream.incarnation += restarted ? 1 : 0;
		upstream.announce(coldMillis);
		announce();
		after(coldMillis + 300, () -> {
			if (this.nowMillis >= upstream.coldUntilMillis && upstream.announcedColdMillis > 0) {
				upstream.announce(0);
				announce();
			}
		});
	}

	private List<Upstream> announced() {
		return this.upstreams.values()
			.stream()
			.sorted(Comparator.comparing((SimulatedUpstream upstream) -> upstream.name))
			.map((upstream) -> new Upstream(upstream.name, "127.0.0.1:1", "zone-0", SLOTS, upstream.incarnation, true,
					upstream.sequence, upstream.announcedColdMillis))
			.toList();
	}

	private void announce() {
		List<Upstream> announced = announced();
		for (int i = 0; i < this.routers.size(); i++) {
			int gateway = i;
			after(lag(), () -> this.constraints.get(gateway).updateUpstreams(announced, nowNanos()));
			after(lag(), () -> execute(this.routers.get(gateway).updateUpstreams(announced, nowNanos())));
		}
	}

	private int lag() {
		return (this.maximumLagMillis > 0) ? this.random.nextInt(this.maximumLagMillis) : 0;
	}

	void sendEvenly(long beginMillis, long endMillis, double requestsPerSecond) {
		for (double millis = beginMillis; millis < endMillis; millis += 1_000 / requestsPerSecond) {
			at((long) millis, this::send);
		}
	}

	private void send() {
		int gateway = this.random.nextInt(this.routers.size());
		boolean withHome = this.random.nextDouble() >= this.shareWithoutHome;
		ServiceRouter router = this.routers.get(withHome ? this.home : gateway);
		long id = ++this.lastRequestId;
		this.openRequests.put(id, new OpenRequest(gateway, router, this.nowMillis));
		execute(router.admit(
				new RoutingRequest(id, "caller-" + id % 20, true, (this.nowMillis + TIMEOUT_MILLIS) * NANOS_PER_MILLI,
						"", new Urgency(1, (this.nowMillis + OBJECTIVE_MILLIS) * NANOS_PER_MILLI), 2,
						withHome ? "gateway-" + gateway : ""),
				withHome, nowNanos()));
	}

	private void execute(List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				dispatch(dispatch);
			}
			else if (effect instanceof Refusal refusal) {
				OpenRequest request = this.openRequests.remove(refusal.requestId());
				this.refused.add(new Refused(this.nowMillis, this.nowMillis - request.startMillis(),
						refusal.retryAfterMillis()));
				request.router().close(refusal.requestId());
			}
		}
	}

	private void dispatch(Dispatch dispatch) {
		OpenRequest request = this.openRequests.get(dispatch.requestId());
		String upstream = dispatch.upstream().name();
		UpstreamConstraints known = this.constraints.get(request.gateway());
		LoadReport constraint = (dispatch.limitCounted() || this.rule.coldRequestsPerSecond() == 0) ? null
				: known.findColdness(upstream, nowNanos());
		if (constraint != null) {
			execute(request.router()
				.completeAttempt(dispatch.requestId(), upstream, AttemptResult.CANCELLED, constraint, nowNanos()));
			execute(request.router().retry(dispatch.requestId(), nowNanos()));
			return;
		}
		after(1 + this.random.nextInt(this.maximumTransferMillis), () -> arrive(dispatch));
	}

	private void arrive(Dispatch dispatch) {
		SimulatedUpstream upstream = this.upstreams.get(dispatch.upstream().name());
		boolean cold = !this.ignoresColdness && this.nowMillis < upstream.coldUntilMillis;
		this.sent.add(new Sent(this.nowMillis, upstream.name, cold));
		after(cold ? 2 * SERVICE_MILLIS : SERVICE_MILLIS, () -> complete(dispatch));
	}

	private void complete(Dispatch dispatch) {
		OpenRequest request = this.openRequests.remove(dispatch.requestId());
		this.servedCount++;
		this.servedInTimeCount += (this.nowMillis - request.startMillis() <= OBJECTIVE_MILLIS) ? 1 : 0;
		execute(request.router()
			.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.SUCCESS, null,
					nowNanos()));
		request.router().close(dispatch.requestId());
	}

	// The largest number of requests to one upstream while it was cold, in any second.
	int maximumColdRequestsInASecond() {
		int maximum = 0;
		for (Sent first : this.sent) {
			if (first.cold()) {
				maximum = Math.max(maximum, (int) this.sent.stream()
					.filter((other) -> other.cold() && other.upstream().equals(first.upstream())
							&& other.atMillis() >= first.atMillis() && other.atMillis() < first.atMillis() + 1_000)
					.count());
			}
		}
		return maximum;
	}

	long coldRequests() {
		return this.sent.stream().filter(Sent::cold).count();
	}

	/**
	 * A request that arrived at an upstream.
	 *
	 * @param atMillis the time of its arrival
	 * @param upstream the name of the upstream
	 * @param cold whether the upstream was cold
	 */
	record Sent(long atMillis, String upstream, boolean cold) {
	}

	/**
	 * A refused request.
	 *
	 * @param atMillis the time of its refusal
	 * @param waitedMillis the time that it had waited
	 * @param retryAfterMillis the time after which it may return
	 */
	record Refused(long atMillis, long waitedMillis, long retryAfterMillis) {
	}

	private record OpenRequest(int gateway, ServiceRouter router, long startMillis) {
	}

	private record Event(long atMillis, long sequence, Runnable action) {
	}

	private static final class SimulatedUpstream {

		private final String name;

		private long incarnation = 1;

		private long sequence = 1;

		private long announcedColdMillis;

		private long coldUntilMillis;

		private SimulatedUpstream(String name) {
			this.name = name;
		}

		private void announce(long coldMillis) {
			this.sequence++;
			this.announcedColdMillis = coldMillis;
		}

	}

}
