package org.radishthread.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.radishthread.routing.CrashDissemination.Message;
import org.radishthread.routing.CrashDissemination.Peer;
import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.CrashFound;
import org.radishthread.routing.RoutingEffect.CrashesCleared;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Simulates a service in virtual time whose upstreams crash: when they are told to, or
 * when they run a request that crashes each upstream. A crashed upstream loses the
 * connections of all requests that it runs, accepts none for some seconds, and then
 * starts under another name.
 */
final class CrashSimulation {

	static final String CRASHING_DIGEST = "crashing";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int SLOTS = 3;

	private static final long NETWORK_MILLIS = 1;

	private static final long SERVICE_MILLIS = 60;

	private static final long DOWN_MILLIS = 3_000;

	private static final long TIMEOUT_MILLIS = 800;

	private static final int MAXIMUM_ATTEMPTS = 2;

	private static final long TICK_MILLIS = 10;

	final List<Long> crashMillis = new ArrayList<>();

	// The times at which the crashing request began to run.
	final List<Long> crashingArrivalMillis = new ArrayList<>();

	// The digests of the requests that were completed.
	final Set<String> servedDigests = new HashSet<>();

	final Set<String> sentDigests = new HashSet<>();

	private final List<Gateway> gateways = new ArrayList<>();

	private final Random random;

	private final Map<String, SimulatedUpstream> upstreams = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final Map<Long, RoutingRequest> openRequests = new HashMap<>();

	private long lastSequence;

	private long lastRequestId;

	private int home;

	// The share of the messages among gateways that is lost.
	double messageLoss;

	long nowMillis;

	CrashSimulation(int gatewayCount, int upstreamCount, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < gatewayCount; i++) {
			this.gateways.add(new Gateway("gateway-" + i, 0));
		}
		for (int i = 0; i < upstreamCount; i++) {
			start(i, 0);
		}
		announce();
		schedule(TICK_MILLIS, this::tick);
		schedule(CrashDissemination.TICK_INTERVAL_MILLIS, this::tickDissemination);
	}

	private void schedule(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.lastSequence++, action));
	}

	void at(long millis, Runnable action) {
		this.events.add(new Event(millis, this.lastSequence++, action));
	}

	void runUntil(long millis) {
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= millis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = millis;
	}

	void moveHome() {
		this.home = (this.home + 1) % this.gateways.size();
	}

	// The home loses its memory and its open requests, and is the home again.
	void restartHome() {
		Gateway former = this.gateways.get(this.home);
		former.stopped = true;
		this.gateways.set(this.home, new Gateway(former.address, former.incarnation + 1));
		announce();
	}

	int quarantinedRequestsAtHome(String digestPrefix) {
		CrashHistory history = this.gateways.get(this.home).history;
		return (int) this.sentDigests.stream()
			.filter((digest) -> digest.startsWith(digestPrefix) && history.quarantineNanos(digest, nowNanos()) > 0)
			.count();
	}

	private long nowNanos() {
		return this.nowMillis * NANOS_PER_MILLI;
	}

	private void start(int place, int generation) {
		String name = "upstream-" + place + '-' + generation;
		this.upstreams.put(name, new SimulatedUpstream(name, place, generation));
	}

	private void announce() {
		List<Upstream> announced = this.upstreams.values()
			.stream()
			.filter((upstream) -> !upstream.replaced)
			.sorted(Comparator.comparing((SimulatedUpstream upstream) -> upstream.name))
			.map((upstream) -> new Upstream(upstream.name, "127.0.0.1:" + (1 + upstream.place),
					"zone-" + upstream.place % 4, SLOTS, 1, true))
			.toList();
		this.gateways.forEach((gateway) -> execute(gateway, gateway.router.updateUpstreams(announced, nowNanos())));
	}

	private void tick() {
		for (Gateway gateway : this.gateways) {
			if (gateway.router.needsTick()) {
				execute(gateway, gateway.router.tick(nowNanos()));
			}
		}
		schedule(TICK_MILLIS, this::tick);
	}

	private void tickDissemination() {
		this.gateways.forEach((gateway) -> deliver(gateway.dissemination.tick(peers(gateway), nowNanos())));
		schedule(CrashDissemination.TICK_INTERVAL_MILLIS, this::tickDissemination);
	}

	private Set<Peer> peers(Gateway gateway) {
		return this.gateways.stream()
			.filter((other) -> other != gateway)
			.map((other) -> new Peer(other.address, other.incarnation))
			.collect(Collectors.toSet());
	}

	private void deliver(List<Message> messages) {
		for (Message message : messages) {
			if (this.random.nextDouble() >= this.messageLoss) {
				schedule(2 * NETWORK_MILLIS,
						() -> this.gateways.stream()
							.filter((gateway) -> gateway.address.equals(message.address()))
							.forEach((gateway) -> gateway.dissemination.receive(message.notice(), nowNanos())));
			}
		}
	}

	// Sends a request to some gateway, which asks the home. A caller whose request was
	// refused or failed
	// sends it once more.
	void send(String digest, boolean repeats) {
		long id = ++this.lastRequestId;
		RoutingRequest request = new RoutingRequest(id, "caller-" + id % 20, true,
				nowNanos() + TIMEOUT_MILLIS * NANOS_PER_MILLI, "", Urgency.NORMAL, MAXIMUM_ATTEMPTS, "", digest);
		this.openRequests.put(id, request);
		this.sentDigests.add(digest);
		Gateway receiver = this.gateways.get(this.random.nextInt(this.gateways.size()));
		long quarantineNanos = receiver.history.quarantineNanos(digest, nowNanos());
		if (quarantineNanos > 0) {
			refuse(receiver, Refusal.quarantined(request, quarantineNanos));
		}
		else {
			Gateway gateway = this.gateways.get(this.home);
			execute(gateway, gateway.router.admit(request, nowNanos()));
		}
		if (repeats) {
			schedule(TIMEOUT_MILLIS / 3, () -> {
				if (!this.servedDigests.contains(digest)) {
					send(digest, false);
				}
			});
		}
	}

	private void execute(Gateway gateway, List<RoutingEffect> effects) {
		if (gateway.stopped) {
			return;
		}
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				schedule(NETWORK_MILLIS, () -> arrive(gateway, dispatch));
			}
			else if (effect instanceof Refusal refusal) {
				refuse(gateway, refusal);
			}
			else if (effect instanceof CrashFound found) {
				deliver(gateway.dissemination.publishCrash(found.crash(), peers(gateway), nowNanos()));
			}
			else if (effect instanceof CrashesCleared cleared) {
				deliver(gateway.dissemination.publishClearance(cleared.digest(), cleared.completedAtNanos(),
						peers(gateway), nowNanos()));
			}
			else if (effect instanceof ConnectionProbe probe) {
				schedule(2 * NETWORK_MILLIS, () -> {
					boolean reachable = !this.upstreams.get(probe.upstream().name()).down;
					execute(gateway,
							gateway.router.recordConnectionProbe(probe.upstream().name(), reachable, nowNanos()));
				});
			}
		}
	}

	private void refuse(Gateway gateway, Refusal refusal) {
		this.openRequests.remove(refusal.requestId());
		gateway.router.close(refusal.requestId());
	}

	private void arrive(Gateway gateway, Dispatch dispatch) {
		SimulatedUpstream upstream = this.upstreams.get(dispatch.upstream().name());
		RoutingRequest request = this.openRequests.get(dispatch.requestId());
		if (upstream.down) {
			schedule(NETWORK_MILLIS, () -> fail(gateway, dispatch, AttemptResult.UNREACHABLE));
			return;
		}
		RunningAttempt attempt = new RunningAttempt(gateway, dispatch);
		upstream.running.add(attempt);
		if (request != null && request.digest().equals(CRASHING_DIGEST)) {
			this.crashingArrivalMillis.add(this.nowMillis);
			schedule(SERVICE_MILLIS, () -> crash(upstream));
			return;
		}
		schedule(SERVICE_MILLIS, () -> {
			if (upstream.running.remove(attempt)) {
				schedule(NETWORK_MILLIS, () -> succeed(gateway, dispatch));
			}
		});
	}

	private void succeed(Gateway gateway, Dispatch dispatch) {
		RoutingRequest request = this.openRequests.remove(dispatch.requestId());
		if (request != null) {
			this.servedDigests.add(request.digest());
		}
		execute(gateway, gateway.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(),
				AttemptResult.SUCCESS, nowNanos()));
		gateway.router.close(dispatch.requestId());
	}

	private void fail(Gateway gateway, Dispatch dispatch, AttemptResult result) {
		execute(gateway,
				gateway.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), result, nowNanos()));
		execute(gateway, gateway.router.retry(dispatch.requestId(), nowNanos()));
	}

	void crashPlaces(int firstPlace, int count) {
		this.upstreams.values()
			.stream()
			.filter((upstream) -> !upstream.down && upstream.place >= firstPlace && upstream.place < firstPlace + count)
			.toList()
			.forEach(this::crash);
	}

	private void crash(SimulatedUpstream upstream) {
		if (upstream.down) {
			return;
		}
		upstream.down = true;
		this.crashMillis.add(this.nowMillis);
		for (RunningAttempt attempt : upstream.running) {
			schedule(NETWORK_MILLIS + this.random.nextInt(3),
					() -> fail(attempt.gateway(), attempt.dispatch(), AttemptResult.CONNECTION_LOST));
		}
		upstream.running.clear();
		schedule(DOWN_MILLIS, () -> {
			upstream.replaced = true;
			start(upstream.place, upstream.generation + 1);
			announce();
		});
	}

	private record Event(long atMillis, long sequence, Runnable action) {
	}

	private record RunningAttempt(Gateway gateway, Dispatch dispatch) {
	}

	private static final class Gateway {

		private final String address;

		private final long incarnation;

		private final CrashHistory history = new CrashHistory(CrashHistory.DEFAULT_MAXIMUM_ENTRIES);

		private final CrashDissemination dissemination = new CrashDissemination(this.history);

		private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"),
				RouterSettings.defaults("bastrop", 16), this.history, 0);

		private boolean stopped;

		private Gateway(String address, long incarnation) {
			this.address = address;
			this.incarnation = incarnation;
		}

	}

	private static final class SimulatedUpstream {

		private final String name;

		private final int place;

		private final int generation;

		private final List<RunningAttempt> running = new ArrayList<>();

		private boolean down;

		private boolean replaced;

		private SimulatedUpstream(String name, int place, int generation) {
			this.name = name;
			this.place = place;
			this.generation = generation;
		}

	}

}
