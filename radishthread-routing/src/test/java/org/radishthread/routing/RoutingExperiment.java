package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.HdrHistogram.Histogram;

import org.radishthread.routing.ComparedPolicy.Knowledge;
import org.radishthread.routing.ExperimentCase.Disturbance;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Measures a way of choosing upstreams in virtual time: real routers, fake upstreams and
 * a network with the latencies of a site.
 */
final class RoutingExperiment {

	private static final long OWN_ZONE_NANOS = 100_000;

	private static final long WARM_UP_NANOS = 2_000_000_000L;

	private static final long RUSH_AT_NANOS = 4_000_000_000L;

	private static final int MEASURING_MESSAGES_PER_THOUSAND = 100;

	private static final int MESSAGE_BYTES = 64;

	private final ExperimentCase experiment;

	private final ComparedPolicy policy;

	private final long endNanos;

	private final Random random;

	private final VirtualTime time = new VirtualTime();

	private final Map<String, FakeUpstream> upstreams = new HashMap<>();

	private final List<ServiceRouter> routers = new ArrayList<>();

	private final List<Knowledge> knowledge = new ArrayList<>();

	private final Map<Long, Call> calls = new HashMap<>();

	private final Histogram latencies = new Histogram(3);

	private final List<long[]> arrivals = new ArrayList<>();

	private final Random messageRandom;

	private long lastCall;

	private long refused;

	private long failed;

	private long served;

	private long messages;

	private double messageAllowance;

	RoutingExperiment(ExperimentCase experiment, ComparedPolicy policy, long seconds, long seed) {
		this.experiment = experiment;
		this.policy = policy;
		this.endNanos = seconds * 1_000_000_000L;
		this.random = new Random(seed);
		this.messageRandom = new Random(seed + 1);
		ExperimentCase.Site site = experiment.site();
		for (int i = 0; i < site.upstreams; i++) {
			Upstream upstream = new Upstream("upstream-" + i, "127.0.0.1:1", zone(i), site.slots, 1, true);
			this.upstreams.put(upstream.name(), new FakeUpstream(this.time, upstream));
		}
		for (int i = 0; i < site.gateways; i++) {
			addGateway(i);
		}
	}

	private String zone(int number) {
		return "zone-" + number % this.experiment.site().zones;
	}

	private void addGateway(int number) {
		Knowledge learned = new Knowledge();
		ServiceRule rule = new ServiceRule("service", 100_000, Duration.ofSeconds(2), 100, 0,
				this.policy.hedges() ? 10 : 0, 5);
		ServiceRouter router = new ServiceRouter(rule, zone(number), this.policy.create(learned, this.messageRandom), 1,
				0);
		// Without a home nobody knows how many slots are free: upstreams queue by
		// themselves.
		router.updateUpstreams(this.upstreams.values()
			.stream()
			.map((it) -> this.policy.isHome() ? it.upstream
					: new Upstream(it.upstream.name(), it.upstream.address(), it.upstream.zone(), 10_000, 1, true))
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList(), 0);
		this.routers.add(router);
		this.knowledge.add(learned);
	}

	ExperimentResult run() {
		scheduleArrivals();
		scheduleDisturbance();
		if (this.policy.shares()) {
			this.time.after(0, this::shareCounts);
		}
		this.time.runUntil(this.endNanos);
		return new ExperimentResult(this.experiment, this.policy.name(), this.latencies, this.served, this.refused,
				this.failed, this.messages, this.messages * MESSAGE_BYTES);
	}

	// The same arrivals and service times for every policy and for the bound.
	private void scheduleArrivals() {
		ExperimentCase.Site site = this.experiment.site();
		double perNano = this.experiment.load() * site.allSlots() / site.serviceNanos;
		double at = 0;
		while (at < this.endNanos) {
			boolean rush = this.experiment.disturbance() == Disturbance.RUSH && at >= RUSH_AT_NANOS
					&& at < RUSH_AT_NANOS + 10_000_000;
			at += -Math.log(1 - this.random.nextDouble()) / (rush ? perNano * 10 : perNano);
			long service = (long) (-Math.log(1 - this.random.nextDouble()) * site.serviceNanos);
			long[] arrival = { (long) at, service, this.random.nextInt(site.gateways) };
			this.arrivals.add(arrival);
		}
		for (long[] arrival : this.arrivals) {
			this.time.after(arrival[0], () -> arrive((int) arrival[2], arrival[1]));
		}
	}

	private void scheduleDisturbance() {
		FakeUpstream first = this.upstreams.get("upstream-0");
		switch (this.experiment.disturbance()) {
			case STRAGGLER -> {
				first.slowness = 10;
			}
			case FAIL_FAST -> {
				first.failsFast = true;
			}
			case COLD_START -> this.time.after(RUSH_AT_NANOS, () -> {
				first.startCold(1_000_000_000L);
				Upstream restarted = new Upstream(first.upstream.name(), first.upstream.address(),
						first.upstream.zone(), first.upstream.slots(), 2, true);
				this.routers.forEach((router) -> router.updateUpstreams(withRestarted(restarted), this.time.now()));
			});
			default -> {
				return;
			}
		}
	}

	private List<Upstream> withRestarted(Upstream restarted) {
		return this.upstreams.values()
			.stream()
			.map((it) -> it.upstream.name().equals(restarted.name()) ? restarted : it.upstream)
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList();
	}

	private long oneWay(String from, String to) {
		return from.equals(to) ? OWN_ZONE_NANOS : this.experiment.site().zoneNanos;
	}

	private void arrive(int gateway, long serviceNanos) {
		int router = this.policy.isHome() ? 0 : gateway;
		long hop = (router == gateway) ? 0 : oneWay(zone(gateway), zone(router));
		Call call = new Call(++this.lastCall, router, serviceNanos, this.time.now(), hop);
		this.calls.put(call.id, call);
		this.time.after(hop, () -> {
			RoutingRequest ticket = new RoutingRequest(call.id, "caller-" + gateway, true,
					this.time.now() + 10_000_000_000L);
			perform(router, this.routers.get(router).admit(ticket, this.time.now()));
		});
		if (this.policy.probes()) {
			probe(gateway);
		}
	}

	private void perform(int router, List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				dispatch(router, this.calls.get(dispatch.requestId()), dispatch);
			}
			else if (effect instanceof Refusal refusal) {
				finish(this.calls.get(refusal.requestId()), false, true);
			}
		}
	}

	private void dispatch(int router, Call call, Dispatch dispatch) {
		FakeUpstream target = this.upstreams.get(dispatch.upstream().name());
		long hop = oneWay(zone(router), target.upstream.zone());
		call.open.add(target.upstream.name());
		// A second attempt takes a service time of its own.
		boolean first = dispatch.kind() == AttemptKind.FIRST;
		long service = first ? call.serviceNanos
				: (long) (-Math.log(1 - this.messageRandom.nextDouble()) * this.experiment.site().serviceNanos);
		this.time.after(hop, () -> {
			if (!call.open.contains(target.upstream.name())) {
				return;
			}
			FakeUpstream.Work work = target.arrive(service,
					(success) -> this.time.after(hop, () -> answered(router, call, target, success)));
			call.work.put(target.upstream.name(), work);
		});
		if (this.policy.hedges() && dispatch.hedgeAfterNanos() > 0) {
			this.time.after(dispatch.hedgeAfterNanos(), () -> {
				if (!call.finished) {
					perform(router, this.routers.get(router).hedge(call.id, this.time.now()));
				}
			});
		}
	}

	private void answered(int router, Call call, FakeUpstream target, boolean success) {
		if (!call.open.remove(target.upstream.name())) {
			return;
		}
		ServiceRouter own = this.routers.get(router);
		this.knowledge.get(router)
			.report(target.upstream.name(),
					target.reportedLoad(this.experiment.staleMillis() * 1_000_000, this.experiment.lies()),
					this.time.now());
		AttemptResult result = success ? AttemptResult.SUCCESS : AttemptResult.FAILURE;
		List<RoutingEffect> effects = own.completeAttempt(call.id, target.upstream.name(), result, this.time.now());
		if (success || call.finished || !call.open.isEmpty()) {
			finish(call, success, false);
		}
		else {
			perform(router, own.retry(call.id, this.time.now()));
		}
		perform(router, effects);
	}

	private void finish(Call call, boolean success, boolean wasRefused) {
		if (call.finished) {
			return;
		}
		call.finished = true;
		cancelOthers(call);
		this.routers.get(call.router).close(call.id);
		this.calls.remove(call.id);
		if (call.arrivedNanos < WARM_UP_NANOS) {
			return;
		}
		this.served += success ? 1 : 0;
		this.refused += wasRefused ? 1 : 0;
		this.failed += (success || wasRefused) ? 0 : 1;
		if (success) {
			this.latencies.recordValue((this.time.now() + call.hopNanos - call.arrivedNanos) / 1_000);
		}
	}

	private void cancelOthers(Call call) {
		for (String name : List.copyOf(call.open)) {
			FakeUpstream target = this.upstreams.get(name);
			call.open.remove(name);
			perform(call.router, this.routers.get(call.router)
				.completeAttempt(call.id, name, AttemptResult.CANCELLED, this.time.now()));
			FakeUpstream.Work work = call.work.get(name);
			if (work != null) {
				this.time.after(oneWay(zone(call.router), target.upstream.zone()), () -> target.cancel(work));
			}
		}
	}

	// Measuring

	private boolean takeAllowance(double perCall) {
		this.messageAllowance += perCall;
		if (this.messageAllowance < 1) {
			return false;
		}
		this.messageAllowance--;
		return true;
	}

	private void probe(int gateway) {
		if (!takeAllowance(MEASURING_MESSAGES_PER_THOUSAND / 1_000.0)) {
			return;
		}
		this.messages++;
		int number = this.messageRandom.nextInt(this.experiment.site().upstreams);
		FakeUpstream target = this.upstreams.get("upstream-" + number);
		long hop = oneWay(zone(gateway), target.upstream.zone());
		this.time.after(hop, () -> {
			int load = target.reportedLoad(this.experiment.staleMillis() * 1_000_000, this.experiment.lies());
			this.time.after(hop,
					() -> this.knowledge.get(gateway).report(target.upstream.name(), load, this.time.now()));
		});
	}

	// Each round every gateway tells every other one its counts, as often as allowed.
	private void shareCounts() {
		int gateways = this.routers.size();
		long round = (long) gateways * (gateways - 1);
		double callsPerNano = this.experiment.load() * this.experiment.site().allSlots()
				/ this.experiment.site().serviceNanos;
		long pause = (long) (round / (callsPerNano * MEASURING_MESSAGES_PER_THOUSAND / 1_000.0));
		for (int from = 0; from < gateways; from++) {
			for (String upstream : this.upstreams.keySet()) {
				int count = this.routers.get(from).inFlight(upstream);
				for (int to = 0; to < gateways; to++) {
					if (from != to) {
						this.knowledge.get(to).share(from, upstream, count);
					}
				}
			}
		}
		this.messages += round;
		this.time.after(pause, this::shareCounts);
	}

	/**
	 * The bound that nobody can beat: one queue over all slots, known at once and without
	 * any way between them, except for one trip within a zone.
	 */
	ExperimentResult bound() {
		scheduleArrivals();
		PriorityQueue<Long> freeAt = new PriorityQueue<>();
		int straggling = (this.experiment.disturbance() == Disturbance.STRAGGLER
				|| this.experiment.disturbance() == Disturbance.FAIL_FAST) ? this.experiment.site().slots : 0;
		for (int i = 0; i < this.experiment.site().allSlots() - straggling; i++) {
			freeAt.add(0L);
		}
		for (long[] arrival : this.arrivals) {
			long start = Math.max(arrival[0], freeAt.remove());
			freeAt.add(start + arrival[1]);
			if (arrival[0] >= WARM_UP_NANOS) {
				this.served++;
				this.latencies.recordValue((start + arrival[1] - arrival[0] + 2 * OWN_ZONE_NANOS) / 1_000);
			}
		}
		return new ExperimentResult(this.experiment, "BOUND", this.latencies, this.served, 0, 0, 0, 0);
	}

	private static final class Call {

		private final long id;

		private final int router;

		private final long serviceNanos;

		private final long arrivedNanos;

		private final long hopNanos;

		private final List<String> open = new ArrayList<>();

		private final Map<String, FakeUpstream.Work> work = new HashMap<>();

		private boolean finished;

		private Call(long id, int router, long serviceNanos, long arrivedNanos, long hopNanos) {
			this.id = id;
			this.router = router;
			this.serviceNanos = serviceNanos;
			this.arrivedNanos = arrivedNanos;
			this.hopNanos = hopNanos;
		}

	}

}
