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

import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Simulates in virtual time a service whose home grants slots to gateways of which some
 * are partitioned from all upstreams. Messages between gateways arrive. Each gateway
 * reports whether it can open connections.
 */
final class PartitionSimulation {

	static final String HOME = "";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int SLOTS = 3;

	private static final long NETWORK_MILLIS = 1;

	private static final long SERVICE_MILLIS = 60;

	private static final long TIMEOUT_MILLIS = 800;

	private static final long CONNECT_TIMEOUT_MILLIS = 300;

	private static final long TICK_MILLIS = 10;

	private static final long PROBE_CHECK_MILLIS = 100;

	private static final String SERVICE = "rotaboard";

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults(SERVICE), "bastrop", 16, 0);

	// Keyed by the gateway.
	private final Map<String, UpstreamReachability> reachabilities = new HashMap<>();

	private final Map<String, String> upstreamsByAddress = new HashMap<>();

	private final List<String> gateways = new ArrayList<>();

	private final Set<String> partitionedGateways = new HashSet<>();

	private final Set<String> lostUpstreams = new HashSet<>();

	private final Map<Long, RoutingRequest> openRequests = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final Random random;

	private final boolean hanging;

	// Whether first attempts of repeatable requests use connections that live on.
	boolean keptConnectionsLiveOn;

	private final Map<String, Tally> tallies = new HashMap<>();

	private int relayedAttempts;

	private long lastSequence;

	private long lastRequestId;

	private long nowMillis;

	// Connections of partitioned gateways hang, or are refused.
	PartitionSimulation(int gatewayCount, int upstreamCount, boolean hanging, long seed) {
		this.random = new Random(seed);
		this.hanging = hanging;
		this.gateways.add(HOME);
		for (int i = 1; i < gatewayCount; i++) {
			this.gateways.add("gateway-" + i);
		}
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < upstreamCount; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:" + (1 + i), "zone-" + i % 4, SLOTS, 1, true));
		}
		execute(this.router.updateUpstreams(upstreams, 0));
		upstreams.forEach((upstream) -> this.upstreamsByAddress.put(upstream.address(), upstream.name()));
		Map<String, String> services = new HashMap<>();
		this.upstreamsByAddress.keySet().forEach((address) -> services.put(address, SERVICE));
		for (String gateway : this.gateways) {
			UpstreamReachability reachability = new UpstreamReachability(gateway.hashCode());
			reachability.updateUpstreams(services);
			this.reachabilities.put(gateway, reachability);
		}
		schedule(TICK_MILLIS, this::tick);
		schedule(PROBE_CHECK_MILLIS, this::probe);
	}

	List<String> gateways() {
		return this.gateways;
	}

	private void schedule(long delayMillis, Runnable action) {
		at(this.nowMillis + delayMillis, action);
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

	void partition(Set<String> gatewaysToPartition) {
		this.partitionedGateways.clear();
		this.partitionedGateways.addAll(gatewaysToPartition);
		this.tallies.clear();
	}

	void loseUpstreams(Set<String> upstreams) {
		this.lostUpstreams.addAll(upstreams);
		this.tallies.clear();
	}

	// A request at each interval, each time at another gateway. None comes back.
	void sendRequests(long beginMillis, long endMillis, long intervalMillis) {
		for (long millis = beginMillis; millis < endMillis; millis += intervalMillis) {
			at(millis, this::send);
		}
	}

	void resetTallies() {
		this.tallies.clear();
	}

	int relayedAttempts() {
		return this.relayedAttempts;
	}

	double servedShare(boolean partitioned) {
		int requests = 0;
		int served = 0;
		for (String gateway : this.gateways) {
			if (this.partitionedGateways.contains(gateway) == partitioned) {
				Tally tally = this.tallies.getOrDefault(gateway, new Tally());
				requests += tally.requests;
				served += tally.served;
			}
		}
		return (double) served / Math.max(1, requests);
	}

	private long nowNanos() {
		return this.nowMillis * NANOS_PER_MILLI;
	}

	private void tick() {
		if (this.router.needsTick()) {
			execute(this.router.tick(nowNanos()));
		}
		schedule(TICK_MILLIS, this::tick);
	}

	private void probe() {
		this.reachabilities.forEach((gateway, reachability) -> {
			for (String address : reachability.dueProbes(nowNanos())) {
				connect(gateway, address, () -> {
				}, () -> {
				});
			}
		});
		schedule(PROBE_CHECK_MILLIS, this::probe);
	}

	private void connect(String gateway, String address, Runnable opened, Runnable failed) {
		boolean reachable = isReachable(gateway, this.upstreamsByAddress.get(address));
		schedule(reachable ? NETWORK_MILLIS : failureMillis(gateway), () -> {
			this.reachabilities.get(gateway).recordConnection(address, reachable);
			report(gateway);
			(reachable ? opened : failed).run();
		});
	}

	private void report(String gateway) {
		execute(this.router.recordReachability(gateway, this.reachabilities.get(gateway).isPartitioned(SERVICE),
				nowNanos()));
	}

	private void send() {
		long id = ++this.lastRequestId;
		String gateway = this.gateways.get(this.random.nextInt(this.gateways.size()));
		RoutingRequest request = new RoutingRequest(id, "caller-" + id % 50, id % 2 == 0,
				nowNanos() + TIMEOUT_MILLIS * NANOS_PER_MILLI, "", Urgency.NORMAL, 2, gateway);
		this.openRequests.put(id, request);
		Tally tally = this.tallies.computeIfAbsent(gateway, (name) -> new Tally());
		tally.requests++;
		execute(this.router.admit(request, nowNanos()));
	}

	private void execute(List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				schedule(2 * NETWORK_MILLIS, () -> arrive(dispatch));
			}
			else if (effect instanceof Refusal refusal) {
				this.openRequests.remove(refusal.requestId());
				this.router.close(refusal.requestId());
			}
			else if (effect instanceof ConnectionProbe probe) {
				boolean reachable = isReachable(HOME, probe.upstream().name());
				schedule(reachable ? NETWORK_MILLIS : failureMillis(HOME), () -> execute(
						this.router.recordConnectionProbe(probe.upstream().name(), reachable, nowNanos())));
			}
		}
	}

	private boolean isReachable(String gateway, String upstream) {
		return !this.partitionedGateways.contains(gateway) && !this.lostUpstreams.contains(upstream);
	}

	private long failureMillis(String gateway) {
		return (this.hanging && this.partitionedGateways.contains(gateway)) ? CONNECT_TIMEOUT_MILLIS : NETWORK_MILLIS;
	}

	private void arrive(Dispatch dispatch) {
		RoutingRequest request = this.openRequests.get(dispatch.requestId());
		String gateway = (dispatch.relay() != null) ? dispatch.relay() : request.origin();
		this.relayedAttempts += (dispatch.relay() != null) ? 1 : 0;
		boolean onKeptConnection = this.keptConnectionsLiveOn && request.mayRepeat()
				&& dispatch.kind() == AttemptKind.FIRST && dispatch.relay() == null;
		if (onKeptConnection) {
			schedule(SERVICE_MILLIS + NETWORK_MILLIS, () -> complete(dispatch, request));
			return;
		}
		connect(gateway, dispatch.upstream().address(),
				() -> schedule(SERVICE_MILLIS, () -> complete(dispatch, request)), () -> {
					execute(this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(),
							AttemptResult.UNREACHABLE, nowNanos()));
					execute(this.router.retry(dispatch.requestId(), nowNanos()));
				});
	}

	private void complete(Dispatch dispatch, RoutingRequest request) {
		this.openRequests.remove(dispatch.requestId());
		Tally tally = this.tallies.get(request.origin());
		if (tally != null && nowNanos() <= request.deadlineNanos()) {
			tally.served++;
		}
		execute(this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.SUCCESS,
				nowNanos()));
		this.router.close(dispatch.requestId());
	}

	private record Event(long atMillis, long sequence, Runnable action) {
	}

	private static final class Tally {

		private int requests;

		private int served;

	}

}
