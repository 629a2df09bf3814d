package org.radishthread.routing;

import java.util.ArrayList;
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
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Probe;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Routes the requests of one service: one queue before all slots of all upstreams, shared
 * fairly among callers, with refusal at once when an answer could not come in time. It is
 * a state machine: callers pass events and the time and carry out the effects. It is not
 * safe for use by several threads at once.
 */
public final class ServiceRouter {

	private static final double HEDGE_LATENCY_FACTOR = 3;

	private static final long MINIMUM_HEDGE_NANOS = 2_000_000;

	private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;

	private static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 1_000;

	private static final int MINIMUM_CALLER_SHARE = 2;

	private final String zone;

	private final SelectionPolicy policy;

	private final int maximumInstances;

	private ServiceRule rule;

	private ProbeBudget probeBudget;

	private final Map<String, UpstreamLoad> loads = new LinkedHashMap<>();

	private final Map<Long, Flight> flights = new HashMap<>();

	private final CallerQueues queues = new CallerQueues();

	private final RetryBudget retryBudget = new RetryBudget();

	private final ThroughputEstimate throughput = new ThroughputEstimate();

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
		this(rule, zone, new LeastExpectedCompletion(), maximumInstances, now);
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
			this.loads.computeIfAbsent(upstream.name(), (name) -> new UpstreamLoad(upstream, since))
				.update(upstream, now);
		}
		this.first = this.first && upstreams.isEmpty();
		this.loads.forEach((name, load) -> {
			if (!present.contains(name)) {
				load.remove();
			}
		});
		this.loads.values().removeIf(UpstreamLoad::isForgettable);
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
	public List<RoutingEffect> admit(Ticket ticket, long now) {
		Refusal refusal = reasonToRefuse(ticket, now);
		if (refusal != null) {
			return List.of(refusal);
		}
		this.queues.admitted(ticket.caller());
		this.flights.put(ticket.id(), new Flight(ticket));
		enqueue(ticket, AttemptKind.FIRST, now);
		dispatchWaiting(now);
		return takeEffects();
	}

	private @Nullable Refusal reasonToRefuse(Ticket ticket, long now) {
		long usable = usableSlots(now);
		if (usable == 0) {
			return new Refusal(ticket.id(), RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_MILLIS);
		}
		if (this.queues.size() == 0) {
			return null;
		}
		double wait = this.throughput.expectedWaitNanos(this.queues.size() + 1);
		long retryAfter = Math.max(MINIMUM_RETRY_AFTER_MILLIS, (long) (wait / 1_000_000));
		if (exceedsShare(ticket.caller(), usable)) {
			return new Refusal(ticket.id(), RefusalReason.CALLER_LIMIT, retryAfter);
		}
		boolean late = now + wait + this.throughput.serviceNanos() > ticket.deadlineNanos()
				|| wait > this.rule.queueWait().toNanos();
		if (late || this.queues.size() >= this.rule.queueLimit()) {
			return new Refusal(ticket.id(), RefusalReason.OVERLOAD, retryAfter);
		}
		return null;
	}

	// A caller is held to its share only while requests of others could wait behind it.
	private boolean exceedsShare(String caller, long usableSlots) {
		boolean alone = this.queues.callers() <= 1 && this.queues.heldBy(caller) > 0;
		long share = (usableSlots + this.rule.queueLimit()) * this.rule.callerSharePercent() / 100;
		return !alone && this.queues.heldBy(caller) >= Math.max(MINIMUM_CALLER_SHARE, share);
	}

	private long usableSlots(long now) {
		return this.loads.values()
			.stream()
			.filter((load) -> load.acceptsWork() && !load.isEjected(now))
			.mapToLong((load) -> load.usableSlots(now))
			.sum();
	}

	private void enqueue(Ticket ticket, AttemptKind kind, long now) {
		long expires = Math.min(ticket.deadlineNanos(), now + this.rule.queueWait().toNanos());
		this.queues.add(new Waiting(ticket, kind, now, expires), kind != AttemptKind.FIRST);
	}

	private void dispatchWaiting(long now) {
		Waiting waiting = this.queues.peek();
		while (waiting != null) {
			Flight flight = flight(waiting.ticket().id());
			Optional<UpstreamLoad> chosen = choose(flight, now).or(() -> chooseToWait(flight, now));
			if (chosen.isEmpty()) {
				return;
			}
			this.queues.removeFirst();
			dispatch(flight, chosen.get(), waiting.kind(), now - waiting.sinceNanos(), now);
			waiting = this.queues.peek();
		}
	}

	private Flight flight(long ticket) {
		Flight flight = this.flights.get(ticket);
		Assert.state(flight != null, "Request " + ticket + " must be known to the router.");
		return flight;
	}

	private Optional<UpstreamLoad> choose(Flight flight, long now) {
		return choose(flight, now, (load) -> load.hasFreeSlot(now));
	}

	// While all slots are busy, a request may travel to one that is about to come free.
	private Optional<UpstreamLoad> chooseToWait(Flight flight, long now) {
		double waitingPerSlot = (double) this.queues.size() / Math.max(1, usableSlots(now));
		return choose(flight, now, (load) -> load.mayPipeline(now, waitingPerSlot));
	}

	private Optional<UpstreamLoad> choose(Flight flight, long now, Predicate<UpstreamLoad> eligible) {
		List<UpstreamLoad> candidates = new ArrayList<>();
		for (UpstreamLoad load : this.loads.values()) {
			if (eligible.test(load) && !flight.tried.contains(load.upstream().name())) {
				candidates.add(load);
			}
		}
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		SelectionContext context = new SelectionContext(this.zone, medianLatencyNanos(),
				this.throughput.expectedWaitNanos(this.queues.size()), flight.ticket.mayRepeat(), now);
		return this.policy.choose(candidates, context);
	}

	private double medianLatencyNanos() {
		double[] known = this.loads.values()
			.stream()
			.filter(UpstreamLoad::isLatencyKnown)
			.mapToDouble(UpstreamLoad::latencyNanos)
			.sorted()
			.toArray();
		return (known.length == 0) ? 0 : known[(known.length - 1) / 2];
	}

	private void dispatch(Flight flight, UpstreamLoad load, AttemptKind kind, long waited, long now) {
		load.dispatched(now);
		flight.tried.add(load.upstream().name());
		flight.startedNanos.put(load.upstream().name(), now);
		boolean hedgeable = flight.ticket.mayRepeat() && kind != AttemptKind.HEDGE
				&& this.throughput.serviceNanos() > 0;
		long hedgeAfter = hedgeable
				? (long) Math.max(MINIMUM_HEDGE_NANOS, HEDGE_LATENCY_FACTOR * this.throughput.serviceNanos()) : 0;
		this.effects.add(new Dispatch(flight.ticket.id(), load.upstream(), kind, load.inFlight(), waited, hedgeAfter));
	}

	/**
	 * Learns that an attempt ended, which frees its slot.
	 * @param ticket the request
	 * @param upstream the name of the upstream
	 * @param result how the attempt ended
	 * @param now the monotonic time, in nanoseconds
	 * @return requests that can now be sent
	 */
	public List<RoutingEffect> attemptEnded(long ticket, String upstream, AttemptResult result, long now) {
		Flight flight = flight(ticket);
		Long started = flight.startedNanos.remove(upstream);
		UpstreamLoad load = this.loads.get(upstream);
		Assert.state(started != null && load != null, "Attempt at '" + upstream + "' must be in flight.");
		load.finished(result, now - started, now, this.rule.ejectAfter(), this.rule.probesPerSecond() > 0);
		if (result == AttemptResult.SUCCESS) {
			this.retryBudget.recordSuccess(this.rule.retryPercent());
			this.throughput.completed(now - started, now);
		}
		this.loads.values().removeIf(UpstreamLoad::isForgettable);
		forgetIfDone(flight);
		dispatchWaiting(now);
		return takeEffects();
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
				|| !this.retryBudget.tryTake()) {
			return List.of(new Refusal(ticket, RefusalReason.RETRY_BUDGET, MINIMUM_RETRY_AFTER_MILLIS));
		}
		boolean untried = this.loads.values()
			.stream()
			.anyMatch((load) -> load.acceptsWork() && !load.isEjected(now)
					&& !flight.tried.contains(load.upstream().name()));
		if (!untried) {
			return List.of(new Refusal(ticket, RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_MILLIS));
		}
		enqueue(flight.ticket, AttemptKind.RETRY, now);
		dispatchWaiting(now);
		return takeEffects();
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
		if (flight == null || flight.closed || flight.startedNanos.isEmpty()
				|| flight.tried.size() >= Math.min(2, flight.ticket.maximumAttempts()) || this.queues.size() > 0) {
			return List.of();
		}
		Optional<UpstreamLoad> chosen = choose(flight, now);
		if (chosen.isEmpty() || !this.retryBudget.tryTake()) {
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
		if (flight.closed && flight.startedNanos.isEmpty()) {
			this.flights.remove(flight.ticket.id());
		}
	}

	/**
	 * Lets time pass: refuses requests that waited too long.
	 * @param now the monotonic time, in nanoseconds
	 * @return refusals, and requests that can now be sent
	 */
	public List<RoutingEffect> tick(long now) {
		for (Waiting waiting : this.queues.removeExpired(now)) {
			long retryAfter = (long) (this.throughput.expectedWaitNanos(this.queues.size() + 1) / 1_000_000);
			this.effects.add(new Refusal(waiting.ticket().id(), RefusalReason.QUEUE_TIMEOUT,
					Math.max(MINIMUM_RETRY_AFTER_MILLIS, retryAfter)));
		}
		probeEjected(now);
		dispatchWaiting(now);
		return takeEffects();
	}

	private void probeEjected(long now) {
		for (UpstreamLoad load : this.loads.values()) {
			if (load.isProbeDue(now) && this.probeBudget.tryTake(now)) {
				load.probing(now);
				this.effects.add(new Probe(load.upstream()));
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
	public List<RoutingEffect> probed(String upstream, boolean reachable, long now) {
		UpstreamLoad load = this.loads.get(upstream);
		if (load != null) {
			load.probed(reachable, now);
		}
		dispatchWaiting(now);
		return takeEffects();
	}

	/**
	 * Returns whether anything here depends on time passing: a request that waits, or an
	 * ejected upstream.
	 * @return whether {@link #tick} is worth a call
	 */
	public boolean needsTime() {
		return this.queues.size() > 0 || this.loads.values().stream().anyMatch(UpstreamLoad::awaitsProbe);
	}

	/**
	 * Returns the number of requests that wait.
	 * @return the count
	 */
	public int queued() {
		return this.queues.size();
	}

	/**
	 * Returns the number of requests that are not closed, or have attempts in flight.
	 * @return the count
	 */
	public int open() {
		return this.flights.size();
	}

	/**
	 * Returns the attempts in flight at an upstream.
	 * @param upstream the name of the upstream
	 * @return the count
	 */
	public int inFlight(String upstream) {
		UpstreamLoad load = this.loads.get(upstream);
		return (load != null) ? load.inFlight() : 0;
	}

	private static final class Flight {

		private final Ticket ticket;

		private final Set<String> tried = new HashSet<>();

		private final Map<String, Long> startedNanos = new HashMap<>();

		private boolean closed;

		private Flight(Ticket ticket) {
			this.ticket = ticket;
		}

	}

}
