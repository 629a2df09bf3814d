package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.HdrHistogram.Histogram;

import org.radishthread.routing.ComparedPolicy.UpstreamReports;
import org.radishthread.routing.ExperimentCase.Disturbance;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Measures a policy for choosing upstreams in virtual time, with the actual routers,
 * simulated upstreams and the network latencies of a site.
 */
final class RoutingExperiment {

	private static final long SAME_ZONE_ONE_WAY_NANOS = 100_000;

	private static final long WARM_UP_NANOS = 2_000_000_000L;

	private static final long DISTURBANCE_START_NANOS = 4_000_000_000L;

	private static final int MAXIMUM_MESSAGES_PER_THOUSAND_REQUESTS = 100;

	private static final int MESSAGE_BYTES = 64;

	private final ExperimentCase experiment;

	private final ComparedPolicy policy;

	private final long endNanos;

	private final Random random;

	private final VirtualTime time = new VirtualTime();

	private final Map<String, FakeUpstream> upstreams = new HashMap<>();

	private final List<ServiceRouter> routers = new ArrayList<>();

	private final List<UpstreamReports> reports = new ArrayList<>();

	private final Map<Long, SimulatedRequest> requests = new HashMap<>();

	private final Histogram latencies = new Histogram(3);

	// For each request: its arrival time and its service time, in nanoseconds, and
	// the number of the gateway that receives it.
	private final List<long[]> arrivals = new ArrayList<>();

	private final Random messageRandom;

	private long lastRequestId;

	private long refusedRequests;

	private long failedRequests;

	private long servedRequests;

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
		UpstreamReports gatewayReports = new UpstreamReports();
		ServiceRule rule = new ServiceRule("service", 100_000, Duration.ofSeconds(2), 100, 0,
				this.policy.sendsHedges() ? 10 : 0, 5);
		ServiceRouter router = new ServiceRouter(rule, zone(number),
				this.policy.create(gatewayReports, this.messageRandom), 1, 0);
		// Without a home, no gateway knows how many slots are free, so gateways
		// are given more slots than are ever used and upstreams queue requests.
		router.updateUpstreams(this.upstreams.values()
			.stream()
			.map((upstream) -> this.policy.routesAtHome() ? upstream.descriptor
					: new Upstream(upstream.descriptor.name(), upstream.descriptor.address(),
							upstream.descriptor.zone(), 10_000, 1, true))
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList(), 0);
		this.routers.add(router);
		this.reports.add(gatewayReports);
	}

	ExperimentResult run() {
		scheduleArrivals();
		scheduleDisturbance();
		if (this.policy.sharesCounts()) {
			this.time.schedule(0, this::shareCounts);
		}
		this.time.runUntil(this.endNanos);
		return new ExperimentResult(this.experiment, this.policy.name(), this.latencies, this.servedRequests,
				this.refusedRequests, this.failedRequests, this.messages, this.messages * MESSAGE_BYTES);
	}

	// Arrivals and service times are the same for every policy and for
	// the lower bound.
	private void scheduleArrivals() {
		ExperimentCase.Site site = this.experiment.site();
		double arrivalsPerNano = this.experiment.utilization() * site.totalSlots() / site.meanServiceNanos;
		double timeNanos = 0;
		while (timeNanos < this.endNanos) {
			boolean burst = this.experiment.disturbance() == Disturbance.RUSH && timeNanos >= DISTURBANCE_START_NANOS
					&& timeNanos < DISTURBANCE_START_NANOS + 10_000_000;
			timeNanos += -Math.log(1 - this.random.nextDouble()) / (burst ? arrivalsPerNano * 10 : arrivalsPerNano);
			long serviceNanos = (long) (-Math.log(1 - this.random.nextDouble()) * site.meanServiceNanos);
			long[] arrival = { (long) timeNanos, serviceNanos, this.random.nextInt(site.gateways) };
			this.arrivals.add(arrival);
		}
		for (long[] arrival : this.arrivals) {
			this.time.schedule(arrival[0], () -> arrive((int) arrival[2], arrival[1]));
		}
	}

	private void scheduleDisturbance() {
		FakeUpstream upstream = this.upstreams.get("upstream-0");
		switch (this.experiment.disturbance()) {
			case STRAGGLER -> {
				upstream.slowdownFactor = 10;
			}
			case FAIL_FAST -> {
				upstream.failsFast = true;
			}
			case COLD_START -> this.time.schedule(DISTURBANCE_START_NANOS, () -> {
				upstream.startCold(1_000_000_000L);
				Upstream restartedUpstream = new Upstream(upstream.descriptor.name(), upstream.descriptor.address(),
						upstream.descriptor.zone(), upstream.descriptor.slots(), 2, true);
				this.routers.forEach((router) -> router.updateUpstreams(withRestartedUpstream(restartedUpstream),
						this.time.nowNanos()));
			});
			default -> {
				return;
			}
		}
	}

	private List<Upstream> withRestartedUpstream(Upstream restartedUpstream) {
		return this.upstreams.values()
			.stream()
			.map((upstream) -> upstream.descriptor.name().equals(restartedUpstream.name()) ? restartedUpstream
					: upstream.descriptor)
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList();
	}

	private long oneWayLatencyNanos(String from, String to) {
		return from.equals(to) ? SAME_ZONE_ONE_WAY_NANOS : this.experiment.site().crossZoneOneWayNanos;
	}

	private void arrive(int gateway, long serviceNanos) {
		int router = this.policy.routesAtHome() ? 0 : gateway;
		long oneWayLatencyNanos = (router == gateway) ? 0 : oneWayLatencyNanos(zone(gateway), zone(router));
		SimulatedRequest request = new SimulatedRequest(++this.lastRequestId, router, serviceNanos,
				this.time.nowNanos(), oneWayLatencyNanos);
		this.requests.put(request.id, request);
		this.time.schedule(oneWayLatencyNanos, () -> {
			RoutingRequest routingRequest = new RoutingRequest(request.id, "caller-" + gateway, true,
					this.time.nowNanos() + 10_000_000_000L);
			perform(router, this.routers.get(router).admit(routingRequest, this.time.nowNanos()));
		});
		if (this.policy.sendsProbes()) {
			probe(gateway);
		}
	}

	private void perform(int router, List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				dispatch(router, this.requests.get(dispatch.requestId()), dispatch);
			}
			else if (effect instanceof Refusal refusal) {
				complete(this.requests.get(refusal.requestId()), false, true);
			}
		}
	}

	private void dispatch(int router, SimulatedRequest request, Dispatch dispatch) {
		FakeUpstream upstream = this.upstreams.get(dispatch.upstream().name());
		long oneWayLatencyNanos = oneWayLatencyNanos(zone(router), upstream.descriptor.zone());
		request.attemptsInFlight.add(upstream.descriptor.name());
		// The service time of a further attempt is drawn anew.
		boolean firstAttempt = dispatch.kind() == AttemptKind.FIRST;
		long serviceNanos = firstAttempt ? request.serviceNanos
				: (long) (-Math.log(1 - this.messageRandom.nextDouble()) * this.experiment.site().meanServiceNanos);
		this.time.schedule(oneWayLatencyNanos, () -> {
			if (!request.attemptsInFlight.contains(upstream.descriptor.name())) {
				return;
			}
			FakeUpstream.Task task = upstream.submit(serviceNanos, (successful) -> this.time
				.schedule(oneWayLatencyNanos, () -> handleResponse(router, request, upstream, successful)));
			request.tasks.put(upstream.descriptor.name(), task);
		});
		if (this.policy.sendsHedges() && dispatch.hedgeAfterNanos() > 0) {
			this.time.schedule(dispatch.hedgeAfterNanos(), () -> {
				if (!request.completed) {
					perform(router, this.routers.get(router).hedge(request.id, this.time.nowNanos()));
				}
			});
		}
	}

	private void handleResponse(int router, SimulatedRequest request, FakeUpstream upstream, boolean successful) {
		if (!request.attemptsInFlight.remove(upstream.descriptor.name())) {
			return;
		}
		ServiceRouter serviceRouter = this.routers.get(router);
		this.reports.get(router)
			.recordLoad(upstream.descriptor.name(), upstream
				.reportLoad(this.experiment.maximumReportAgeMillis() * 1_000_000, this.experiment.underreports()),
					this.time.nowNanos());
		AttemptResult result = successful ? AttemptResult.SUCCESS : AttemptResult.FAILURE;
		List<RoutingEffect> effects = serviceRouter.completeAttempt(request.id, upstream.descriptor.name(), result,
				this.time.nowNanos());
		if (successful || request.completed || !request.attemptsInFlight.isEmpty()) {
			complete(request, successful, false);
		}
		else {
			perform(router, serviceRouter.retry(request.id, this.time.nowNanos()));
		}
		perform(router, effects);
	}

	private void complete(SimulatedRequest request, boolean successful, boolean refused) {
		if (request.completed) {
			return;
		}
		request.completed = true;
		cancelAttemptsInFlight(request);
		this.routers.get(request.router).close(request.id);
		this.requests.remove(request.id);
		if (request.arrivalNanos < WARM_UP_NANOS) {
			return;
		}
		this.servedRequests += successful ? 1 : 0;
		this.refusedRequests += refused ? 1 : 0;
		this.failedRequests += (successful || refused) ? 0 : 1;
		if (successful) {
			this.latencies
				.recordValue((this.time.nowNanos() + request.homeLatencyNanos - request.arrivalNanos) / 1_000);
		}
	}

	private void cancelAttemptsInFlight(SimulatedRequest request) {
		for (String name : List.copyOf(request.attemptsInFlight)) {
			FakeUpstream upstream = this.upstreams.get(name);
			request.attemptsInFlight.remove(name);
			perform(request.router, this.routers.get(request.router)
				.completeAttempt(request.id, name, AttemptResult.CANCELLED, this.time.nowNanos()));
			FakeUpstream.Task task = request.tasks.get(name);
			if (task != null) {
				this.time.schedule(oneWayLatencyNanos(zone(request.router), upstream.descriptor.zone()),
						() -> upstream.cancel(task));
			}
		}
	}

	private boolean tryAcquireMessage(double messagesPerRequest) {
		this.messageAllowance += messagesPerRequest;
		if (this.messageAllowance < 1) {
			return false;
		}
		this.messageAllowance--;
		return true;
	}

	private void probe(int gateway) {
		if (!tryAcquireMessage(MAXIMUM_MESSAGES_PER_THOUSAND_REQUESTS / 1_000.0)) {
			return;
		}
		this.messages++;
		int number = this.messageRandom.nextInt(this.experiment.site().upstreams);
		FakeUpstream upstream = this.upstreams.get("upstream-" + number);
		long oneWayLatencyNanos = oneWayLatencyNanos(zone(gateway), upstream.descriptor.zone());
		this.time.schedule(oneWayLatencyNanos, () -> {
			int load = upstream.reportLoad(this.experiment.maximumReportAgeMillis() * 1_000_000,
					this.experiment.underreports());
			this.time.schedule(oneWayLatencyNanos,
					() -> this.reports.get(gateway).recordLoad(upstream.descriptor.name(), load, this.time.nowNanos()));
		});
	}

	// In each round, every gateway sends its counts to all others. The interval
	// between rounds follows from the permitted number of messages.
	private void shareCounts() {
		int gateways = this.routers.size();
		long messagesPerRound = (long) gateways * (gateways - 1);
		double requestsPerNano = this.experiment.utilization() * this.experiment.site().totalSlots()
				/ this.experiment.site().meanServiceNanos;
		long roundNanos = (long) (messagesPerRound
				/ (requestsPerNano * MAXIMUM_MESSAGES_PER_THOUSAND_REQUESTS / 1_000.0));
		for (int sender = 0; sender < gateways; sender++) {
			for (String upstream : this.upstreams.keySet()) {
				int count = this.routers.get(sender).inFlight(upstream);
				for (int receiver = 0; receiver < gateways; receiver++) {
					if (sender != receiver) {
						this.reports.get(receiver).recordInFlight(sender, upstream, count);
					}
				}
			}
		}
		this.messages += messagesPerRound;
		this.time.schedule(roundNanos, this::shareCounts);
	}

	/**
	 * Computes a lower bound of the latencies of any policy: one queue for all slots
	 * except those of a disturbed upstream, without network latency except for one round
	 * trip within a zone.
	 */
	ExperimentResult runLowerBound() {
		scheduleArrivals();
		PriorityQueue<Long> slotFreeTimesNanos = new PriorityQueue<>();
		int unusableSlots = (this.experiment.disturbance() == Disturbance.STRAGGLER
				|| this.experiment.disturbance() == Disturbance.FAIL_FAST) ? this.experiment.site().slots : 0;
		for (int i = 0; i < this.experiment.site().totalSlots() - unusableSlots; i++) {
			slotFreeTimesNanos.add(0L);
		}
		for (long[] arrival : this.arrivals) {
			long startNanos = Math.max(arrival[0], slotFreeTimesNanos.remove());
			slotFreeTimesNanos.add(startNanos + arrival[1]);
			if (arrival[0] >= WARM_UP_NANOS) {
				this.servedRequests++;
				this.latencies
					.recordValue((startNanos + arrival[1] - arrival[0] + 2 * SAME_ZONE_ONE_WAY_NANOS) / 1_000);
			}
		}
		return new ExperimentResult(this.experiment, "BOUND", this.latencies, this.servedRequests, 0, 0, 0, 0);
	}

	private static final class SimulatedRequest {

		private final long id;

		private final int router;

		private final long serviceNanos;

		private final long arrivalNanos;

		private final long homeLatencyNanos;

		private final List<String> attemptsInFlight = new ArrayList<>();

		private final Map<String, FakeUpstream.Task> tasks = new HashMap<>();

		private boolean completed;

		private SimulatedRequest(long id, int router, long serviceNanos, long arrivalNanos, long homeLatencyNanos) {
			this.id = id;
			this.router = router;
			this.serviceNanos = serviceNanos;
			this.arrivalNanos = arrivalNanos;
			this.homeLatencyNanos = homeLatencyNanos;
		}

	}

}
