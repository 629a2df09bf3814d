package org.radishthread.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;
import org.radishthread.routing.CallerQueues.Waiting;
import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.PaceProbe;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.routing.UpstreamTracker.EjectionRule;
import org.radishthread.rules.PaceProbeRule;
import org.radishthread.rules.ServiceRule;

/**
 * Routes the requests of one service: one queue before all slots of all upstreams, shared
 * fairly among callers, with refusal at once when an answer could not come in time. It is
 * a state machine: callers pass events and the time and carry out the effects. It is not
 * safe for use by several threads at once.
 */
public final class ServiceRouter {

	private static final double HEDGE_LATENCY_FACTOR = 3;

	private static final double STUCK_FACTOR = 5;

	private static final double HEDGE_MARGIN_FACTOR = 1.3;

	private static final double MAXIMUM_EJECTED_SHARE = 0.5;

	private static final double HEDGE_LEAST_FACTOR = 1.15;

	private static final long MINIMUM_HEDGE_NANOS = 2_000_000;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	// A probe costs some thousandths of what a late answer does.
	private static final double PACE_PROBES_PER_REQUEST = 8;

	private final String zone;

	private final SelectionPolicy policy;

	private final int maximumInstances;

	private ServiceRule rule;

	private ProbeBudget probeBudget;

	private final Map<String, UpstreamTracker> loads = new LinkedHashMap<>();

	private final Map<Long, Flight> flights = new HashMap<>();

	private final CallerQueues queues = new CallerQueues();

	private final RetryBudget retryBudget = new RetryBudget();

	private final ThroughputEstimate throughput = new ThroughputEstimate();

	private final ContentionEstimate crowding = new ContentionEstimate();

	private final AdmissionControl admission = new AdmissionControl(this.queues, this.throughput, this.crowding);

	private final ArrivalEstimate demand = new ArrivalEstimate();

	private boolean active;

	private List<RoutingEffect> effects = new ArrayList<>();

	private boolean first = true;

	/**
	 * Creates a router.
	 * @param rule the limits of the service
	 * @param zone the availability zone of this instance
	 * @param maximumInstances the greatest number of instances that may exist, which
	 * share the measuring budget
	 * @param now the monotonic time, in nanoseconds
	 */
	public ServiceRouter(ServiceRule rule, String zone, int maximumInstances, long now) {
		this(rule, zone, new EarliestCompletionPolicy(), maximumInstances, now);
	}

	ServiceRouter(ServiceRule rule, String zone, SelectionPolicy policy, int maximumInstances, long now) {
		this.rule = rule;
		this.zone = zone;
		this.policy = policy;
		this.maximumInstances = maximumInstances;
		this.probeBudget = new ProbeBudget(rule.probesPerSecond(), maximumInstances, now);
	}

	/**
	 * Sets the limits of the service.
	 * @param updated the rule now in force
	 * @param now the monotonic time, in nanoseconds
	 */
	public void updateRule(ServiceRule updated, long now) {
		if (updated.probesPerSecond() != this.rule.probesPerSecond()) {
			this.probeBudget = new ProbeBudget(updated.probesPerSecond(), this.maximumInstances, now);
		}
		this.rule = updated;
	}

	/**
	 * Sets the announced upstreams of the service.
	 * @param upstreams all that have not left
	 * @param now the monotonic time, in nanoseconds
	 * @return requests that can now be sent, or must now be refused
	 */
	public List<RoutingEffect> updateUpstreams(List<Upstream> upstreams, long now) {
		Set<String> present = new HashSet<>();
		for (Upstream upstream : upstreams) {
			present.add(upstream.name());
			// Upstreams known before this instance started need no easing in.
			long since = this.first ? Long.MIN_VALUE / 2 : now;
			this.loads.computeIfAbsent(upstream.name(), (name) -> new UpstreamTracker(upstream, since))
				.update(upstream, now);
		}
		this.first = this.first && upstreams.isEmpty();
		this.loads.forEach((name, load) -> {
			if (!present.contains(name)) {
				load.remove();
			}
		});
		this.loads.values().removeIf(UpstreamTracker::isForgettable);
		dispatchWaiting(now);
		return takeEffects();
	}

	private List<RoutingEffect> takeEffects() {
		List<RoutingEffect> taken = this.effects;
		this.effects = new ArrayList<>();
		return taken;
	}

	/**
	 * Takes in a request.
	 * @param ticket the request
	 * @param now the monotonic time, in nanoseconds
	 * @return its dispatch or refusal, or nothing while it waits
	 */
	public List<RoutingEffect> admit(RoutingRequest ticket, long now) {
		this.demand.arrived(now);
		this.retryBudget.recordRequest(this.rule.retryPercent());
		this.active = true;
		Refusal refusal = this.admission.reasonToRefuse(ticket, this.rule, usableSlots(now), now);
		if (refusal != null) {
			return List.of(refusal);
		}
		this.queues.admitted(ticket.caller());
		this.flights.put(ticket.id(), new Flight(ticket));
		enqueue(ticket, AttemptKind.FIRST, now);
		dispatchWaiting(now);
		return takeEffects();
	}

	private long usableSlots(long now) {
		return this.loads.values()
			.stream()
			.filter((load) -> load.acceptsRequests() && !load.isEjected(now))
			.mapToLong((load) -> load.usableSlots(now))
			.sum();
	}

	private void enqueue(RoutingRequest ticket, AttemptKind kind, long now) {
		long expires = Math.min(ticket.deadlineNanos(), now + this.rule.queueTimeout().toNanos());
		this.queues.add(new Waiting(ticket, kind, this.admission.rank(ticket, now), now, expires),
				kind != AttemptKind.FIRST);
	}

	// A request that waits for a fast upstream leaves the slow ones to those that
	// are late anyway.
	private void dispatchWaiting(long now) {
		dispatchFrom(Integer.MIN_VALUE, now);
		dispatchFrom(AdmissionControl.LATE_RANK, now);
	}

	private void dispatchFrom(int leastRank, long now) {
		Waiting waiting = this.queues.peek(leastRank);
		while (waiting != null) {
			Flight flight = flight(waiting.ticket().id());
			Optional<UpstreamTracker> chosen = chooseFree(flight, now).or(() -> chooseToWait(flight, now));
			if (chosen.isEmpty()) {
				return;
			}
			this.queues.removeFirst(waiting);
			dispatch(flight, chosen.get(), waiting.kind(), now - waiting.sinceNanos(), now);
			waiting = this.queues.peek(leastRank);
		}
	}

	private Flight flight(long ticket) {
		Flight flight = this.flights.get(ticket);
		Assert.state(flight != null, "Request " + ticket + " must be known to the router.");
		return flight;
	}

	// Slots that do not crowd an upstream go first.
	private Optional<UpstreamTracker> chooseFree(Flight flight, long now) {
		return choose(flight, now, (load) -> load.hasFreeSlot(now) && load.isCalm())
			.or(() -> choose(flight, now, (load) -> load.hasFreeSlot(now) && mayCrowd(load)));
	}

	private boolean mayCrowd(UpstreamTracker load) {
		return !this.crowding.costsMoreThanItBrings(load.upstream().slots()) || this.crowding.isTrialDue();
	}

	// While all slots are busy, a request may travel to one that is about
	// to come free.
	private Optional<UpstreamTracker> chooseToWait(Flight flight, long now) {
		double waitingPerSlot = (double) this.queues.size() / Math.max(1, usableSlots(now));
		return choose(flight, now, (load) -> load.mayPipeline(now, waitingPerSlot, this.throughput.serviceNanos())
				&& !this.crowding.costsMoreThanItBrings(load.upstream().slots()));
	}

	private Optional<UpstreamTracker> choose(Flight flight, long now, Predicate<UpstreamTracker> eligible) {
		List<UpstreamTracker> candidates = new ArrayList<>();
		long latestEnd = this.admission.latestUsefulEnd(flight.ticket, now);
		for (UpstreamTracker load : this.loads.values()) {
			if (eligible.test(load) && !flight.tried.contains(load.upstream().name())
					&& now + expectedNanos(load, now) <= latestEnd) {
				candidates.add(load);
			}
		}
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		SelectionContext context = new SelectionContext(
				flight.ticket.zone().isEmpty() ? this.zone : flight.ticket.zone(), medianLatencyNanos(),
				this.throughput.expectedWaitNanos(this.queues.size()), this.throughput.serviceNanos(), this.crowding,
				flight.ticket.mayRepeat(), now);
		return this.policy.choose(candidates, context);
	}

	private double expectedNanos(UpstreamTracker load, long now) {
		return load.expectedNanos(this.throughput.serviceNanos(), this.crowding, now);
	}

	private double medianLatencyNanos() {
		double[] known = this.loads.values()
			.stream()
			.filter(UpstreamTracker::isLatencyKnown)
			.mapToDouble(UpstreamTracker::latencyNanos)
			.sorted()
			.toArray();
		return (known.length == 0) ? 0 : known[(known.length - 1) / 2];
	}

	private void dispatch(Flight flight, UpstreamTracker load, AttemptKind kind, long waited, long now) {
		load.dispatched(now);
		flight.tried.add(load.upstream().name());
		flight.started.put(load.upstream().name(), new Started(now, load.inFlight(), load.paceFactor(now)));
		boolean hedgeable = flight.ticket.mayRepeat() && kind != AttemptKind.HEDGE
				&& this.throughput.serviceNanos() > 0;
		long hedgeAfter = hedgeable ? hedgeAfterNanos(flight.ticket, now) : 0;
		this.effects.add(new Dispatch(flight.ticket.id(), load.upstream(), kind, load.inFlight(), waited, hedgeAfter));
	}

	// A second attempt must be able to answer in time, and not be made
	// for usual times.
	private long hedgeAfterNanos(RoutingRequest ticket, long now) {
		double typical = this.crowding.typicalNanos(this.throughput.serviceNanos());
		double inTime = ticket.urgency().objectiveAtNanos() - now - HEDGE_MARGIN_FACTOR * typical;
		double earliest = Math.min(HEDGE_LATENCY_FACTOR * typical, Math.max(HEDGE_LEAST_FACTOR * typical, inTime));
		return (long) Math.max(MINIMUM_HEDGE_NANOS, earliest);
	}

	/**
	 * Learns that an attempt ended, which frees its slot.
	 * @param ticket the request
	 * @param upstream the name of the upstream
	 * @param result how the attempt ended
	 * @param now the monotonic time, in nanoseconds
	 * @return requests that can now be sent
	 */
	public List<RoutingEffect> completeAttempt(long ticket, String upstream, AttemptResult result, long now) {
		return completeAttempt(ticket, upstream, result, null, now);
	}

	/**
	 * Learns that an attempt ended, which frees its slot.
	 * @param ticket the request
	 * @param upstream the name of the upstream
	 * @param result how the attempt ended
	 * @param report what the upstream said of its load, if it did
	 * @param now the monotonic time, in nanoseconds
	 * @return requests that can now be sent
	 */
	public List<RoutingEffect> completeAttempt(long ticket, String upstream, AttemptResult result,
			@Nullable LoadReport report, long now) {
		Flight flight = flight(ticket);
		Started started = flight.started.remove(upstream);
		UpstreamTracker load = this.loads.get(upstream);
		Assert.state(started != null && load != null, "Attempt at '" + upstream + "' must be in flight.");
		long latency = now - started.atNanos();
		if (report != null) {
			load.reported(report, now);
		}
		load.finished(result, latency, started.paceFactor(), now);
		if (result.countsAgainstUpstream()) {
			load.failed(result, now, ejectionRule(now));
		}
		if (result == AttemptResult.SUCCESS) {
			this.crowding.finished(started.inFlight(), load.upstream().slots(), latency / started.paceFactor());
			this.throughput.completed(latency, now);
		}
		this.loads.values().removeIf(UpstreamTracker::isForgettable);
		forgetIfDone(flight);
		dispatchWaiting(now);
		return takeEffects();
	}

	// Where most upstreams fail a part of their requests, the others could not
	// bear the load either; then it is better to use them all and to try again.
	private EjectionRule ejectionRule(long now) {
		long working = this.loads.values().stream().filter(UpstreamTracker::acceptsRequests).count();
		long ejected = this.loads.values().stream().filter((load) -> load.isEjected(now)).count();
		boolean allowed = (ejected + 1) <= working * MAXIMUM_EJECTED_SHARE;
		return new EjectionRule(this.rule.ejectionFailureThreshold(), allowed || working == 1,
				this.rule.probesPerSecond() > 0);
	}

	/**
	 * Asks for another attempt after one that failed. The caller has made sure that the
	 * request may be sent again.
	 * @param ticket the request
	 * @param now the monotonic time, in nanoseconds
	 * @return its dispatch or refusal, or nothing while it waits
	 */
	public List<RoutingEffect> retry(long ticket, long now) {
		Flight flight = this.flights.get(ticket);
		if (flight == null || flight.closed) {
			return List.of();
		}
		if (flight.tried.size() >= flight.ticket.maximumAttempts() || now >= flight.ticket.deadlineNanos()
				|| !this.retryBudget.tryAcquire(now)) {
			return List.of(new Refusal(ticket, RefusalReason.RETRY_BUDGET, this.admission
				.retryAfterMillis(flight.ticket, AdmissionControl.NO_BUDGET_RETRY_AFTER_MILLIS, now)));
		}
		boolean untried = this.loads.values()
			.stream()
			.anyMatch((load) -> load.acceptsRequests() && !load.isEjected(now)
					&& !flight.tried.contains(load.upstream().name()));
		if (!untried) {
			return List.of(new Refusal(ticket, RefusalReason.NO_UPSTREAM, this.admission.retryAfterMillis(flight.ticket,
					AdmissionControl.NO_UPSTREAM_RETRY_AFTER_MILLIS, now)));
		}
		enqueue(flight.ticket, AttemptKind.RETRY, now);
		dispatchWaiting(now);
		return takeEffects();
	}

	// Beside an attempt that seems stuck even a straggler or the last
	// slot is welcome.
	private Optional<UpstreamTracker> chooseForStuck(Flight flight, long now) {
		long lastStart = flight.started.values().stream().mapToLong(Started::atNanos).max().orElse(now);
		if (now - lastStart < STUCK_FACTOR * this.admission.typicalNanos()) {
			return Optional.empty();
		}
		return this.loads.values()
			.stream()
			.filter((load) -> load.hasFreeSlot(now))
			.filter((load) -> !flight.tried.contains(load.upstream().name()))
			.min(Comparator.comparingDouble((load) -> expectedNanos(load, now)));
	}

	/**
	 * Asks for a second attempt beside a slow one; it is granted only if a slot is free
	 * and the budget allows it.
	 * @param ticket the request
	 * @param now the monotonic time, in nanoseconds
	 * @return its dispatch, or nothing
	 */
	public List<RoutingEffect> hedge(long ticket, long now) {
		Flight flight = this.flights.get(ticket);
		if (flight == null || flight.closed || flight.started.isEmpty()
				|| flight.tried.size() >= Math.min(2, flight.ticket.maximumAttempts()) || this.queues.size() > 0) {
			return List.of();
		}
		Optional<UpstreamTracker> chosen = choose(flight, now, (load) -> load.hasFreeSlot(now) && load.isCalm())
			.or(() -> chooseForStuck(flight, now));
		if (chosen.isEmpty() || !this.retryBudget.tryAcquireForHedge(now)) {
			return List.of();
		}
		dispatch(flight, chosen.get(), AttemptKind.HEDGE, 0, now);
		return takeEffects();
	}

	/**
	 * Forgets a request whose caller has its answer or went away.
	 * @param ticket the request
	 */
	public void close(long ticket) {
		Flight flight = this.flights.get(ticket);
		if (flight == null || flight.closed) {
			return;
		}
		flight.closed = true;
		this.queues.remove(flight.ticket);
		this.queues.closed(flight.ticket.caller());
		forgetIfDone(flight);
	}

	// Attempts that are still in flight hold their slots until they end.
	private void forgetIfDone(Flight flight) {
		if (flight.closed && flight.started.isEmpty()) {
			this.flights.remove(flight.ticket.id());
		}
	}

	/**
	 * Lets time pass: refuses requests that waited too long or can not be answered any
	 * more.
	 * @param now the monotonic time, in nanoseconds
	 * @return refusals, and requests that can now be sent
	 */
	public List<RoutingEffect> tick(long now) {
		int position = 0;
		long usable = usableSlots(now);
		for (Waiting waiting : this.queues.inOrder()) {
			position++;
			int rank = this.admission.rank(waiting.ticket(), now);
			boolean becameLate = rank != waiting.rank();
			boolean hopeless = this.admission.isHopeless(waiting.ticket(), position, now)
					|| (becameLate && !this.admission.isRoomForLate(usable));
			if (hopeless || waiting.expiresNanos() <= now) {
				this.queues.remove(waiting);
				this.effects.add(new Refusal(waiting.ticket().id(), RefusalReason.QUEUE_TIMEOUT,
						this.admission.retryAfterMillisAt(waiting.ticket(), position, now)));
				position--;
			}
			else if (becameLate) {
				this.queues.remove(waiting);
				this.queues.add(new Waiting(waiting.ticket(), waiting.kind(), rank, waiting.sinceNanos(),
						waiting.expiresNanos()), false);
			}
		}
		probeEjected(now);
		probePaces(now);
		dispatchWaiting(now);
		return takeEffects();
	}

	// Probes keep to the demand: a service that is asked rarely is probed rarely.
	private void probePaces(long now) {
		this.active = !this.demand.isIdle(now);
		PaceProbeRule probing = this.rule.paceProbeRule();
		if (probing == null || !this.active) {
			return;
		}
		double byDemand = this.loads.size() * this.demand.pauseNanos() / PACE_PROBES_PER_REQUEST;
		long interval = (long) Math.max(NANOS_PER_SECOND / probing.maximumProbesPerSecond(), byDemand);
		for (UpstreamTracker load : this.loads.values()) {
			if (load.acceptsRequests() && !load.isEjected(now) && load.isPaceProbeDue(interval, now)) {
				load.paceProbing(now);
				this.effects.add(new PaceProbe(load.upstream(), probing.path()));
			}
		}
	}

	/**
	 * Learns how fast an upstream works that was asked.
	 * @param upstream the name of the upstream
	 * @param report what it said
	 * @param now the monotonic time, in nanoseconds
	 * @return requests that can now be sent
	 */
	public List<RoutingEffect> recordPaceProbe(String upstream, LoadReport report, long now) {
		UpstreamTracker load = this.loads.get(upstream);
		if (load != null) {
			load.recordPaceProbe(report, now);
		}
		dispatchWaiting(now);
		return takeEffects();
	}

	private void probeEjected(long now) {
		for (UpstreamTracker load : this.loads.values()) {
			if (load.isProbeDue(now) && this.probeBudget.tryAcquire(now)) {
				load.probing(now);
				this.effects.add(new ConnectionProbe(load.upstream()));
			}
		}
	}

	/**
	 * Learns whether a probed upstream could be reached; it then gets one request on
	 * trial.
	 * @param upstream the name of the upstream
	 * @param reachable whether it could be reached
	 * @param now the monotonic time, in nanoseconds
	 * @return requests that can now be sent
	 */
	public List<RoutingEffect> recordConnectionProbe(String upstream, boolean reachable, long now) {
		UpstreamTracker load = this.loads.get(upstream);
		if (load != null) {
			load.recordConnectionProbe(reachable, now);
		}
		dispatchWaiting(now);
		return takeEffects();
	}

	/**
	 * Returns whether anything here depends on time passing: a request that waits, or an
	 * ejected upstream.
	 * @return whether {@link #tick} is worth a call
	 */
	public boolean needsTick() {
		boolean probing = this.active && this.rule.paceProbeRule() != null;
		return probing || this.queues.size() > 0 || this.loads.values().stream().anyMatch(UpstreamTracker::awaitsProbe);
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the count
	 */
	public int queuedRequests() {
		return this.queues.size();
	}

	/**
	 * Returns the number of requests that are not closed, or have attempts in flight.
	 * @return the count
	 */
	public int openRequests() {
		return this.flights.size();
	}

	/**
	 * Returns the attempts in flight at an upstream.
	 * @param upstream the name of the upstream
	 * @return the count
	 */
	public int inFlight(String upstream) {
		UpstreamTracker load = this.loads.get(upstream);
		return (load != null) ? load.inFlight() : 0;
	}

	private record Started(long atNanos, int inFlight, double paceFactor) {
	}

	private static final class Flight {

		private final RoutingRequest ticket;

		private final Set<String> tried = new HashSet<>();

		private final Map<String, Started> started = new HashMap<>();

		private boolean closed;

		private Flight(RoutingRequest ticket) {
			this.ticket = ticket;
		}

	}

}
