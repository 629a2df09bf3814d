package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.radishthread.rules.PaceProbeRule;
import org.radishthread.rules.ServiceRule;

/**
 * Simulates, in virtual time, a service whose upstreams share machines with other
 * services: some upstreams are several times slower for a short time, and requests that
 * begin when an upstream is nearly full take longer. Requests are routed by a
 * {@link ServiceRouter}.
 */
final class SharedMachineSimulation {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long TICK_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;

	private static final long PACE_CHANGE_INTERVAL_NANOS = 300 * NANOS_PER_MILLI;

	private static final long HEDGE_RETRY_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;

	private static final long ONE_WAY_LATENCY_NANOS = NANOS_PER_MILLI;

	private static final int MAXIMUM_TRANSFER_MILLIS = 45;

	private static final double CONTENTION_SLOWDOWN_FACTOR = 1.7;

	private static final int MAXIMUM_QUEUED_PER_SLOT = 2;

	private static final long WARM_UP_NANOS = 3_000 * NANOS_PER_MILLI;

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final Workload workload;

	private final PaceChanges paceChanges;

	private final ServiceRouter router;

	private final Map<String, SimulatedUpstream> upstreams = new HashMap<>();

	private final Map<Long, SimulatedRequest> requests = new HashMap<>();

	private long lastRequestId;

	final Counts counts = new Counts();

	SharedMachineSimulation(Workload workload, boolean paceProbesEnabled, long seed) {
		this(workload, paceProbesEnabled, RouterSettings.defaults("zone-0", 1), PaceChanges.SIMULTANEOUS, seed);
	}

	SharedMachineSimulation(Workload workload, boolean paceProbesEnabled, RouterSettings settings,
			PaceChanges paceChanges, long seed) {
		this.workload = workload;
		this.paceChanges = paceChanges;
		this.random = new Random(seed);
		ServiceRule rule = new ServiceRule("service", 2_000, Duration.ofSeconds(60), 50, 0, 15, 3,
				paceProbesEnabled ? new PaceProbeRule("/health", 25) : null);
		this.router = new ServiceRouter(rule, settings, 0);
		List<Upstream> announcedUpstreams = new ArrayList<>();
		for (int i = 0; i < workload.upstreams(); i++) {
			Upstream upstream = new Upstream("upstream-" + i, "127.0.0.1:1", paceChanges.zone(i), workload.slots(), 1,
					true);
			announcedUpstreams.add(upstream);
			this.upstreams.put(upstream.name(), new SimulatedUpstream());
		}
		this.router.updateUpstreams(announcedUpstreams, 0);
	}

	Counts run(long seconds) {
		long endNanos = seconds * 1_000 * NANOS_PER_MILLI;
		this.paceChanges.start(this);
		tick();
		double timeNanos = 0;
		while (timeNanos < endNanos) {
			timeNanos += -Math.log(1 - this.random.nextDouble()) * 1_000 * NANOS_PER_MILLI
					/ this.workload.requestsPerSecondAt((long) timeNanos);
			this.time.schedule((long) timeNanos, this::arrive);
		}
		this.time.runUntil(endNanos);
		return this.counts;
	}

	private void drawPaces() {
		this.upstreams.values().forEach(this::drawPace);
		this.time.schedule(PACE_CHANGE_INTERVAL_NANOS, this::drawPaces);
	}

	private void drawPace(SimulatedUpstream upstream) {
		upstream.pace = (this.random.nextDouble() < this.workload.slowShare()) ? this.workload.slowFactor() : 1;
	}

	private void drawPaceRepeatedly(SimulatedUpstream upstream) {
		drawPace(upstream);
		this.time.schedule(PACE_CHANGE_INTERVAL_NANOS, () -> drawPaceRepeatedly(upstream));
	}

	private void tick() {
		perform(this.router.tick(this.time.nowNanos()));
		this.time.schedule(TICK_INTERVAL_NANOS, this::tick);
	}

	private void arrive() {
		SimulatedRequest request = new SimulatedRequest(++this.lastRequestId, this.time.nowNanos());
		this.requests.put(request.id, request);
		RoutingRequest routingRequest = new RoutingRequest(request.id, "caller-" + request.id,
				this.workload.mayRepeat(), request.arrivalNanos + this.workload.deadlineMillis() * NANOS_PER_MILLI, "",
				new Urgency(1, request.arrivalNanos + this.workload.objectiveMillis() * NANOS_PER_MILLI), 2);
		this.time.schedule(this.workload.deadlineMillis() * NANOS_PER_MILLI, () -> handleDeadline(request));
		perform(this.router.admit(routingRequest, this.time.nowNanos()));
	}

	private void perform(List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof RoutingEffect.Dispatch dispatch) {
				dispatch(this.requests.get(dispatch.requestId()), dispatch);
			}
			else if (effect instanceof RoutingEffect.Refusal refusal) {
				refuse(this.requests.get(refusal.requestId()), refusal);
			}
			else if (effect instanceof RoutingEffect.PaceProbe probe) {
				this.counts.paceProbes++;
				String upstreamName = probe.upstream().name();
				this.time.schedule(2 * ONE_WAY_LATENCY_NANOS, () -> perform(
						this.router.recordPaceProbe(upstreamName, report(upstreamName), this.time.nowNanos())));
			}
		}
	}

	private LoadReport report(String upstreamName) {
		SimulatedUpstream upstream = this.upstreams.get(upstreamName);
		return new LoadReport(upstream.runningRequests, upstream.queuedRequests.size(), this.workload.slots(),
				(int) (100 * upstream.pace));
	}

	private void dispatch(SimulatedRequest request, RoutingEffect.Dispatch dispatch) {
		String upstreamName = dispatch.upstream().name();
		SimulatedUpstream upstream = this.upstreams.get(upstreamName);
		request.attemptsInFlight.add(upstreamName);
		boolean queueFull = upstream.queuedRequests.size() >= MAXIMUM_QUEUED_PER_SLOT * this.workload.slots();
		if (queueFull || this.random.nextDouble() < this.workload.failureShareAt(this.time.nowNanos())) {
			this.time.schedule(2 * ONE_WAY_LATENCY_NANOS, () -> handleFailure(request, upstreamName));
		}
		else {
			this.time.schedule(this.paceChanges.transferNanos(this.random), () -> receive(request, upstreamName));
		}
		if (dispatch.hedgeAfterNanos() > 0) {
			this.time.schedule(dispatch.hedgeAfterNanos(), () -> hedge(request));
		}
	}

	// Asks again at intervals, as gateways do.
	private void hedge(SimulatedRequest request) {
		if (request.completed) {
			return;
		}
		if (request.attemptsInFlight.size() == 1) {
			perform(this.router.hedge(request.id, this.time.nowNanos()));
		}
		this.time.schedule(HEDGE_RETRY_INTERVAL_NANOS, () -> hedge(request));
	}

	private void receive(SimulatedRequest request, String upstreamName) {
		if (!request.attemptsInFlight.contains(upstreamName)) {
			return;
		}
		SimulatedUpstream upstream = this.upstreams.get(upstreamName);
		if (upstream.runningRequests < this.workload.slots()) {
			run(request, upstreamName);
		}
		else {
			upstream.queuedRequests.add(request);
		}
	}

	private void run(SimulatedRequest request, String upstreamName) {
		SimulatedUpstream upstream = this.upstreams.get(upstreamName);
		upstream.runningRequests++;
		request.runningUpstreams.add(upstreamName);
		boolean contended = upstream.runningRequests > this.workload.slots() * 0.8;
		double spreadFactor = 0.7 + 0.6 * this.random.nextDouble();
		long serviceNanos = (long) (this.workload.serviceMillis() * NANOS_PER_MILLI * spreadFactor * upstream.pace
				* (contended ? CONTENTION_SLOWDOWN_FACTOR : 1));
		this.time.schedule(2 * ONE_WAY_LATENCY_NANOS + serviceNanos, () -> handleResponse(request, upstreamName));
	}

	private void releaseSlot(SimulatedRequest request, String upstreamName) {
		SimulatedUpstream upstream = this.upstreams.get(upstreamName);
		upstream.queuedRequests.remove(request);
		if (!request.runningUpstreams.remove(upstreamName)) {
			return;
		}
		upstream.runningRequests--;
		SimulatedRequest next = upstream.queuedRequests.poll();
		if (next != null) {
			run(next, upstreamName);
		}
	}

	private void handleFailure(SimulatedRequest request, String upstreamName) {
		if (!request.attemptsInFlight.remove(upstreamName)) {
			return;
		}
		perform(this.router.completeAttempt(request.id, upstreamName, this.workload.failure(), report(upstreamName),
				this.time.nowNanos()));
		boolean mayRetry = this.workload.failure() == AttemptResult.SHED || this.workload.mayRepeat();
		if (!request.completed && request.attemptsInFlight.isEmpty() && mayRetry) {
			perform(this.router.retry(request.id, this.time.nowNanos()));
		}
	}

	private void handleDeadline(SimulatedRequest request) {
		if (!request.completed) {
			this.counts.timeouts++;
			complete(request, false);
		}
	}

	private void handleResponse(SimulatedRequest request, String upstreamName) {
		if (!request.attemptsInFlight.remove(upstreamName)) {
			return;
		}
		releaseSlot(request, upstreamName);
		List<RoutingEffect> effects = this.router.completeAttempt(request.id, upstreamName, AttemptResult.SUCCESS,
				report(upstreamName), this.time.nowNanos());
		complete(request, true);
		perform(effects);
	}

	private void refuse(SimulatedRequest request, RoutingEffect.Refusal refusal) {
		this.counts.timesToRefusalMillis.add((this.time.nowNanos() - request.arrivalNanos) / NANOS_PER_MILLI);
		complete(request, false);
	}

	private void complete(SimulatedRequest request, boolean served) {
		if (request.completed) {
			return;
		}
		request.completed = true;
		for (String upstreamName : List.copyOf(request.attemptsInFlight)) {
			request.attemptsInFlight.remove(upstreamName);
			releaseSlot(request, upstreamName);
			perform(this.router.completeAttempt(request.id, upstreamName, AttemptResult.CANCELLED,
					this.time.nowNanos()));
		}
		this.router.close(request.id);
		this.requests.remove(request.id);
		if (request.arrivalNanos < WARM_UP_NANOS) {
			return;
		}
		long latencyMillis = (this.time.nowNanos() - request.arrivalNanos) / NANOS_PER_MILLI;
		this.counts.requests++;
		this.counts.servedRequests += served ? 1 : 0;
		this.counts.requestsWithinObjective += (served && latencyMillis <= this.workload.objectiveMillis()) ? 1 : 0;
	}

	/**
	 * When the paces of the upstreams change.
	 */
	enum PaceChanges {

		/**
		 * All at once, in one availability zone.
		 */
		SIMULTANEOUS {

			@Override
			void start(SharedMachineSimulation simulation) {
				simulation.drawPaces();
			}

			@Override
			String zone(int upstreamIndex) {
				return "zone-0";
			}

		},

		/**
		 * Each at times of its own, in four availability zones; a request takes some time
		 * to reach its upstream.
		 */
		INDEPENDENT {

			@Override
			void start(SharedMachineSimulation simulation) {
				for (SimulatedUpstream upstream : simulation.upstreams.values()) {
					simulation.drawPace(upstream);
					simulation.time.schedule((long) (simulation.random.nextDouble() * PACE_CHANGE_INTERVAL_NANOS),
							() -> simulation.drawPaceRepeatedly(upstream));
				}
			}

			@Override
			String zone(int upstreamIndex) {
				return "zone-" + upstreamIndex % 4;
			}

			@Override
			long transferNanos(Random random) {
				return random.nextInt(MAXIMUM_TRANSFER_MILLIS) * NANOS_PER_MILLI;
			}

		};

		/**
		 * Returns the time in which a request reaches its upstream.
		 * @param random the source of the time
		 * @return the time, in nanoseconds
		 */
		long transferNanos(Random random) {
			return 0;
		}

		abstract void start(SharedMachineSimulation simulation);

		abstract String zone(int upstreamIndex);

	}

	/**
	 * The simulated service and its load. Every nine seconds the load goes through three
	 * phases of three seconds: steady load, a burst, and failures of the upstreams.
	 *
	 * @param upstreams the number of upstreams
	 * @param slots the slots of each upstream
	 * @param serviceMillis the usual service time, in milliseconds
	 * @param objectiveMillis the latency objective, in milliseconds
	 * @param deadlineMillis the time until the deadline of a request, in milliseconds
	 * @param requestsPerSecond the rate of requests outside of the burst
	 * @param burstFactor the factor on the rate during the burst
	 * @param mayRepeat whether requests may be repeated when it is unknown whether they
	 * ran
	 * @param slowShare the share of the upstreams that are slow at any time
	 * @param slowFactor the factor on the service time of slow upstreams
	 * @param failureShare the share of the requests that each upstream sheds or fails in
	 * the third phase
	 * @param failure whether upstreams shed or fail these requests
	 */
	record Workload(int upstreams, int slots, double serviceMillis, long objectiveMillis, long deadlineMillis,
			double requestsPerSecond, double burstFactor, boolean mayRepeat, double slowShare, double slowFactor,
			double failureShare, AttemptResult failure) {

		Workload(int upstreams, int slots, double serviceMillis, long objectiveMillis, long deadlineMillis,
				double requestsPerSecond, double burstFactor, boolean mayRepeat, double slowShare, double slowFactor) {
			this(upstreams, slots, serviceMillis, objectiveMillis, deadlineMillis, requestsPerSecond, burstFactor,
					mayRepeat, slowShare, slowFactor, 0, AttemptResult.SHED);
		}

		private double failureShareAt(long timeNanos) {
			return (phaseAt(timeNanos) == 2) ? this.failureShare : 0;
		}

		private static long phaseAt(long timeNanos) {
			return timeNanos / (3_000 * NANOS_PER_MILLI) % 3;
		}

		private double requestsPerSecondAt(long timeNanos) {
			return (phaseAt(timeNanos) == 1) ? this.requestsPerSecond * this.burstFactor : this.requestsPerSecond;
		}

	}

	/**
	 * The outcomes of the requests. The numbers of all requests, of served ones and of
	 * those within the objective leave out the warm-up.
	 */
	static final class Counts {

		long requests;

		long servedRequests;

		long requestsWithinObjective;

		long paceProbes;

		long timeouts;

		final List<Long> timesToRefusalMillis = new ArrayList<>();

		double withinObjectiveShare() {
			return (double) this.requestsWithinObjective / this.requests;
		}

		double servedShare() {
			return (double) this.servedRequests / this.requests;
		}

	}

	private static final class SimulatedUpstream {

		private double pace = 1;

		private int runningRequests;

		private final Deque<SimulatedRequest> queuedRequests = new ArrayDeque<>();

	}

	private static final class SimulatedRequest {

		private final long id;

		private final long arrivalNanos;

		private final Set<String> attemptsInFlight = new HashSet<>();

		private final Set<String> runningUpstreams = new HashSet<>();

		private boolean completed;

		private SimulatedRequest(long id, long arrivalNanos) {
			this.id = id;
			this.arrivalNanos = arrivalNanos;
		}

	}

}
