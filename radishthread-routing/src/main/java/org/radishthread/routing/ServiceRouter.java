package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;
import org.radishthread.routing.CallerQueues.QueuedRequest;
import org.radishthread.routing.RequestState.AttemptStart;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.routing.RoutingEffect.ServiceEvacuated;
import org.radishthread.routing.RoutingEffect.UpstreamCold;
import org.radishthread.rules.ServiceRule;

/**
 * Routes the requests of one service. Requests wait in one queue for the slots of all
 * upstreams; callers are served fairly, and requests that could not be served in time are
 * refused on arrival.
 * <p>
 * The following terms are used throughout routing. A slot is one unit of the capacity of
 * an upstream, used by an attempt until it completes. An upstream is ejected, that is,
 * not used for some time, after it failed repeatedly or could not be reached. A hedge is
 * a second attempt in parallel to a slow one. The pace of an upstream is its current
 * service time relative to the usual one.
 * <p>
 * This class is a state machine: each method takes an event with the monotonic time and
 * returns the effects to carry out. It is not safe for concurrent use.
 */
public final class ServiceRouter {

	// The latest time of the first request for a hedge after the start of the slow
	// attempt, relative to the typical duration of an attempt.
	private static final double MAXIMUM_HEDGE_DELAY_FACTOR = 3;

	// The time allowed for a hedge, relative to the typical duration
	// of an attempt.
	private static final double HEDGE_DURATION_FACTOR = 1.6;

	// The earliest time of a request for a hedge after the start of the slow attempt,
	// relative to the typical duration of an attempt.
	private static final double MINIMUM_HEDGE_DELAY_FACTOR = 0.5;

	// An attempt that takes longer than this multiple of the typical duration is overdue:
	// nine of ten that begin at the usual pace take less.
	private static final double OVERDUE_FACTOR = 1.3;

	private static final long MINIMUM_HEDGE_DELAY_NANOS = 2_000_000;

	// About the time in which an equal request that runs alone has completed.
	private static final long TRIAL_RETRY_AFTER_NANOS = 500_000_000;

	// After a longer time without requests, another instance may have been the home.
	private static final long HOME_GAP_NANOS = 1_000_000_000;

	// Attempts that could not connect do not count as attempts of the request. This
	// limit keeps requests from trying all upstreams of a service that is down.
	private static final int MAXIMUM_UNREACHED_ATTEMPTS = 5;

	private ServiceRule rule;

	private final ColdStartLimits coldStartLimits;

	private long lastHomeAdmissionNanos = Long.MIN_VALUE / 2;

	private final Map<String, UpstreamTracker> trackers = new LinkedHashMap<>();

	private final EvacuatedZones evacuatedZones = new EvacuatedZones(this.trackers);

	private final Map<Long, RequestState> requests = new HashMap<>();

	private final CallerQueues queues = new CallerQueues();

	private final RetryBudget retryBudget;

	private final ThroughputEstimate throughput = new ThroughputEstimate();

	private final ContentionEstimate contention = new ContentionEstimate();

	private final AdmissionControl admission = new AdmissionControl(this.queues, this.throughput, this.contention);

	private final UpstreamSelection selection;

	private final ProbeSchedule probes;

	private final CrashMonitor crashes;

	private final TrialQueue trials = new TrialQueue();

	private final UpstreamPaths paths = new UpstreamPaths();

	private final FailureAttribution attribution = new FailureAttribution(this.paths, this.trackers, () -> this.rule,
			(effect) -> this.effects.add(effect));

	private List<RoutingEffect> effects = new ArrayList<>();

	private boolean awaitsFirstUpstreams = true;

	/**
	 * Creates a router.
	 * @param rule the limits of the service
	 * @param zone the availability zone of this instance
	 * @param maximumInstances the maximum number of instances, which share the probe
	 * budget
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public ServiceRouter(ServiceRule rule, String zone, int maximumInstances, long nowNanos) {
		this(rule, zone, new EarliestCompletionPolicy(), maximumInstances, nowNanos);
	}

	/**
	 * Creates a router.
	 * @param rule the limits of the service
	 * @param settings the settings of the instance
	 * @param crashHistory the history of crashes, which the routers of the instance share
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public ServiceRouter(ServiceRule rule, RouterSettings settings, CrashHistory crashHistory, long nowNanos) {
		this(rule, settings, new EarliestCompletionPolicy(), crashHistory, nowNanos);
	}

	ServiceRouter(ServiceRule rule, RouterSettings settings, long nowNanos) {
		this(rule, settings, new CrashHistory(CrashHistory.DEFAULT_MAXIMUM_ENTRIES), nowNanos);
	}

	ServiceRouter(ServiceRule rule, String zone, SelectionPolicy policy, int maximumInstances, long nowNanos) {
		this(rule, RouterSettings.defaults(zone, maximumInstances), policy,
				new CrashHistory(CrashHistory.DEFAULT_MAXIMUM_ENTRIES), nowNanos);
	}

	private ServiceRouter(ServiceRule rule, RouterSettings settings, SelectionPolicy policy, CrashHistory crashHistory,
			long nowNanos) {
		this.rule = rule;
		this.coldStartLimits = settings.coldStartLimits();
		this.selection = new UpstreamSelection(settings, policy, this.trackers, this.paths, this.queues,
				this.throughput, this.contention, this.admission);
		this.crashes = new CrashMonitor(crashHistory);
		this.retryBudget = new RetryBudget(settings.retryLimits());
		this.probes = new ProbeSchedule(settings, this.paths, this.trackers, () -> this.rule,
				(effect) -> this.effects.add(effect), nowNanos);
	}

	/**
	 * Sets the limits of the service.
	 * @param updatedRule the new limits
	 * @param nowNanos the monotonic time, in nanoseconds
	 */
	public void updateRule(ServiceRule updatedRule, long nowNanos) {
		boolean probeRateChanged = updatedRule.probesPerSecond() != this.rule.probesPerSecond();
		this.rule = updatedRule;
		this.trackers.values()
			.forEach((tracker) -> tracker.coldLimit()
				.setRate(updatedRule.coldRequestsPerSecond(), this.coldStartLimits));
		if (probeRateChanged) {
			this.probes.resetBudget(nowNanos);
		}
	}

	/**
	 * Sets the announced upstreams of the service.
	 * @param upstreams all announced upstreams that have not left
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch
	 */
	public List<RoutingEffect> updateUpstreams(List<Upstream> upstreams, long nowNanos) {
		Set<String> announcedNames = new HashSet<>();
		for (Upstream upstream : upstreams) {
			announcedNames.add(upstream.name());
			// The first upstreams already ran before this instance started, so
			// they need no slow start.
			long slowStartBeginNanos = this.awaitsFirstUpstreams ? Long.MIN_VALUE / 2 : nowNanos;
			UpstreamTracker tracker = this.trackers.computeIfAbsent(upstream.name(),
					(name) -> newTracker(upstream, slowStartBeginNanos));
			tracker.update(upstream, nowNanos);
			if (tracker.coldLimit().recordAnnouncement(upstream, nowNanos)) {
				addColdEffect(tracker, nowNanos);
			}
			if (this.crashes.recordIncarnation(upstream, nowNanos)) {
				this.paths.forgetUpstream(upstream.name());
			}
		}
		this.effects.addAll(this.crashes.takeNews(nowNanos));
		this.awaitsFirstUpstreams = this.awaitsFirstUpstreams && upstreams.isEmpty();
		this.trackers.forEach((name, tracker) -> {
			if (!announcedNames.contains(name)) {
				tracker.markRemoved();
			}
		});
		removeDiscardable();
		applyEvacuations(nowNanos);
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	/**
	 * Sets the availability zones that operators evacuate. From now on no request is sent
	 * to the upstreams there, and none of them is probed for its pace; requests in flight
	 * end there. If the service has no other upstreams, requests are refused.
	 * @param zones the names of all evacuated zones
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch, or the refusals of queued ones
	 */
	public List<RoutingEffect> updateEvacuatedZones(Set<String> zones, long nowNanos) {
		if (!this.evacuatedZones.update(zones)) {
			return List.of();
		}
		applyEvacuations(nowNanos);
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	private void applyEvacuations(long nowNanos) {
		if (this.evacuatedZones.apply()) {
			this.effects.add(new ServiceEvacuated(this.evacuatedZones.coversAll()));
		}
		if (this.evacuatedZones.coversAll()) {
			refuseQueued(nowNanos);
		}
	}

	private void refuseQueued(long nowNanos) {
		List<QueuedRequest> waiting = new ArrayList<>(this.queues.inServiceOrder());
		waiting.forEach(this.queues::remove);
		waiting.addAll(this.trials.waiting());
		for (QueuedRequest queued : waiting) {
			this.trials.remove(queued.request());
			this.effects.add(new Refusal(queued.request().id(), RefusalReason.NO_UPSTREAM, this.admission
				.retryAfterMillis(queued.request(), AdmissionControl.NO_UPSTREAM_RETRY_AFTER_MILLIS, nowNanos)));
		}
	}

	private UpstreamTracker newTracker(Upstream upstream, long slowStartBeginNanos) {
		UpstreamTracker tracker = new UpstreamTracker(upstream, slowStartBeginNanos);
		tracker.coldLimit().setRate(this.rule.coldRequestsPerSecond(), this.coldStartLimits);
		return tracker;
	}

	private void addColdEffect(UpstreamTracker tracker, long nowNanos) {
		this.effects.add(new UpstreamCold(tracker.upstream().name(), tracker.coldLimit().remainingMillis(nowNanos),
				this.rule.coldRequestsPerSecond()));
	}

	private void removeDiscardable() {
		this.trackers.values().removeIf((tracker) -> {
			if (tracker.isDiscardable()) {
				this.attribution.forgetUpstream(tracker.upstream().name());
			}
			return tracker.isDiscardable();
		});
	}

	private List<RoutingEffect> takeEffects() {
		List<RoutingEffect> pendingEffects = this.effects;
		this.effects = new ArrayList<>();
		return pendingEffects;
	}

	/**
	 * Dispatches, queues or refuses a new request, as the home of the service.
	 * @param request the request
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return its dispatch or refusal, or nothing if it was queued
	 */
	public List<RoutingEffect> admit(RoutingRequest request, long nowNanos) {
		return admit(request, true, nowNanos);
	}

	/**
	 * Dispatches, queues or refuses a new request.
	 * @param request the request
	 * @param home whether this instance is the home of the service
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return its dispatch or refusal, or nothing if it was queued
	 */
	public List<RoutingEffect> admit(RoutingRequest request, boolean home, long nowNanos) {
		// Several instances may stand in for a home at once.
		this.retryBudget.recordRequest(this.rule.retryPercent(), home && !request.substituted(), nowNanos);
		if (home) {
			// Only the home probes. Others would each probe all upstreams for the few
			// requests that they route without it.
			this.probes.recordArrival(nowNanos);
			recordHomeAdmission(nowNanos);
		}
		this.paths.recordRequest(request.origin(), nowNanos);
		this.paths.recordRequest(UpstreamPaths.HOME, nowNanos);
		Refusal refusal = this.crashes.findQuarantine(request, nowNanos);
		refusal = (refusal != null) ? refusal : findRefusal(request, home, nowNanos);
		if (refusal != null) {
			return List.of(refusal);
		}
		this.queues.recordAdmission(request.queueName());
		this.requests.put(request.id(), new RequestState(request, home));
		enqueue(request, AttemptKind.FIRST, nowNanos);
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	/**
	 * Records what an instance reports of its own connections to the upstreams of the
	 * service, see {@link UpstreamReachability}.
	 * @param origin the peer address of the instance, or empty for this instance
	 * @param partitioned whether it reaches none of them
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the change, and the requests to dispatch
	 */
	public List<RoutingEffect> recordReachability(String origin, boolean partitioned, long nowNanos) {
		this.attribution.recordReport(origin, partitioned, nowNanos);
		if (!this.effects.isEmpty()) {
			dispatchQueued(nowNanos);
		}
		return takeEffects();
	}

	/**
	 * Sets the instances that may relay attempts although they send no requests of the
	 * service.
	 * @param peerAddresses the peer addresses of the other gateways
	 */
	public void updateInstances(List<String> peerAddresses) {
		this.paths.updateInstances(peerAddresses);
	}

	private void recordHomeAdmission(long nowNanos) {
		if (nowNanos - this.lastHomeAdmissionNanos > HOME_GAP_NANOS) {
			this.trackers.values().forEach((tracker) -> tracker.coldLimit().restart(nowNanos));
		}
		this.lastHomeAdmissionNanos = nowNanos;
	}

	private @Nullable Refusal findRefusal(RoutingRequest request, boolean home, long nowNanos) {
		long usableSlots = this.selection.usableSlots(nowNanos);
		boolean refusedByAll = this.selection.usableTrackers(nowNanos)
			.allMatch((tracker) -> tracker.refuses(request.origin(), nowNanos));
		if (usableSlots > 0 && refusedByAll) {
			long refusedNanos = this.selection.usableTrackers(nowNanos)
				.mapToLong((tracker) -> tracker.refusedUntilNanos(request.origin()) - nowNanos)
				.min()
				.orElse(0);
			return new Refusal(request.id(), RefusalReason.NO_UPSTREAM,
					this.admission.retryAfterMillis(request, Duration.ofNanos(refusedNanos).toMillis(), nowNanos));
		}
		boolean unreachable = this.selection.usableTrackers(nowNanos)
			.noneMatch((tracker) -> this.selection.canReach(request, tracker, nowNanos));
		if (usableSlots > 0 && unreachable) {
			return new Refusal(request.id(), RefusalReason.NO_UPSTREAM, this.admission.retryAfterMillis(request,
					AdmissionControl.NO_UPSTREAM_RETRY_AFTER_MILLIS, nowNanos));
		}
		if (usableSlots > 0 && isLimitedByAll(nowNanos)) {
			Refusal refusal = findLimitRefusal(request, home, nowNanos);
			if (refusal != null) {
				return refusal;
			}
		}
		return this.admission.findRefusal(request, this.rule, usableSlots, nowNanos);
	}

	// If all upstreams have limits, the time at which a request is allowed is known.
	private @Nullable Refusal findLimitRefusal(RoutingRequest request, boolean home, long nowNanos) {
		if (!home) {
			return new Refusal(request.id(), RefusalReason.NO_UPSTREAM, this.admission.retryAfterMillis(request,
					AdmissionControl.NO_UPSTREAM_RETRY_AFTER_MILLIS, nowNanos));
		}
		int requestsAhead = this.queues.sizeUpTo(this.admission.rank(request, nowNanos));
		int requestsPerUpstream = 1 + requestsAhead / (int) this.selection.usableTrackers(nowNanos).count();
		long allowedAtNanos = this.selection.usableTrackers(nowNanos)
			.mapToLong((tracker) -> tracker.allowedAtNanos(requestsPerUpstream, nowNanos))
			.min()
			.orElse(nowNanos);
		if (allowedAtNanos + this.admission.typicalServiceNanos() <= latestCompletionNanos(request, nowNanos)) {
			return null;
		}
		return new Refusal(request.id(), RefusalReason.OVERLOAD, this.admission.retryAfterMillis(request,
				Duration.ofNanos(allowedAtNanos - nowNanos).toMillis(), nowNanos));
	}

	// While upstreams are cold, a request that would wait until it is too late, or until
	// its time in the queue is over, is not let in.
	private long latestCompletionNanos(RoutingRequest request, long nowNanos) {
		if (this.selection.usableTrackers(nowNanos).noneMatch((tracker) -> tracker.isCold(nowNanos))) {
			return request.deadlineNanos();
		}
		double typicalNanos = this.admission.typicalServiceNanos();
		long queueEndNanos = nowNanos + this.rule.queueTimeout().toNanos() + (long) typicalNanos;
		boolean late = nowNanos + typicalNanos > request.urgency().objectiveAtNanos();
		return Math.min(queueEndNanos, late ? request.deadlineNanos()
				: Math.min(request.deadlineNanos(), request.urgency().objectiveAtNanos()));
	}

	private void enqueue(RoutingRequest request, AttemptKind kind, long nowNanos) {
		long expiryNanos = Math.min(request.deadlineNanos(), nowNanos + this.rule.queueTimeout().toNanos());
		QueuedRequest queued = new QueuedRequest(request, kind, initialRank(request, kind, nowNanos), nowNanos,
				expiryNanos, queuedWaitNanos(request, nowNanos));
		if (this.crashes.isSuspected(request)) {
			enqueueForTrial(queued);
		}
		else if (this.crashes.crashesUnder(request) == 0 || !this.trials.tryAdd(queued)) {
			this.queues.add(queued, kind != AttemptKind.FIRST);
		}
	}

	private double queuedWaitNanos(RoutingRequest request, long nowNanos) {
		return (this.queues.size() > 0) ? this.admission.expectedWaitNanos(request, nowNanos) : 0;
	}

	// While all upstreams have limits, these decide on the wait, not the throughput.
	private int initialRank(RoutingRequest request, AttemptKind kind, long nowNanos) {
		return (kind == AttemptKind.FIRST && !isLimitedByAll(nowNanos)) ? this.admission.initialRank(request, nowNanos)
				: this.admission.rank(request, nowNanos);
	}

	private boolean isLimitedByAll(long nowNanos) {
		return this.selection.usableTrackers(nowNanos).allMatch((tracker) -> tracker.isLimited(nowNanos));
	}

	// Without the home, several instances would run equal requests at the same time.
	private void enqueueForTrial(QueuedRequest queued) {
		boolean home = requireState(queued.request().id()).isRoutedByHome();
		if (!home || !this.trials.tryAdd(queued)) {
			this.effects.add(Refusal.quarantined(queued.request(), TRIAL_RETRY_AFTER_NANOS));
		}
	}

	// If the next request waits for an upstream that can meet its objective,
	// requests that miss theirs in any case may use the other upstreams.
	private void dispatchQueued(long nowNanos) {
		this.trials.waiting().forEach((queued) -> dispatchTrial(queued, nowNanos));
		dispatchFromRank(Integer.MIN_VALUE, nowNanos);
		dispatchFromRank(AdmissionControl.LATE_RANK_OFFSET, nowNanos);
	}

	// A suspected request waits until an upstream is idle; one is kept free for it. A
	// request that is not suspected yet runs alone only if an upstream is idle.
	private void dispatchTrial(QueuedRequest queued, long nowNanos) {
		RequestState state = requireState(queued.request().id());
		Refusal refusal = this.crashes.findQuarantine(queued.request(), nowNanos);
		if (refusal != null) {
			this.trials.remove(queued.request());
			this.effects.add(refusal);
			return;
		}
		Optional<UpstreamTracker> idleUpstream = findIdleUpstream(state, nowNanos);
		if (idleUpstream.isPresent()) {
			this.trials.recordStart(queued);
			idleUpstream.get().setReserved(true);
			state.setExclusiveUpstream(idleUpstream.get());
			dispatch(state, idleUpstream.get(), queued.kind(), nowNanos - queued.enqueuedNanos(), nowNanos);
		}
		else if (!this.crashes.isSuspected(queued.request())) {
			this.trials.remove(queued.request());
			this.queues.add(queued, queued.kind() != AttemptKind.FIRST);
		}
		else {
			reserveUpstream(state, nowNanos);
		}
	}

	private Optional<UpstreamTracker> findIdleUpstream(RequestState state, long nowNanos) {
		UpstreamTracker reservedUpstream = this.trials.reservedUpstream();
		if (reservedUpstream != null && reservedUpstream.isIdle(nowNanos) && state.mayUse(reservedUpstream, nowNanos)
				&& this.selection.canReach(state.request(), reservedUpstream, nowNanos)) {
			return Optional.of(reservedUpstream);
		}
		return this.selection.chooseIdle(state, nowNanos);
	}

	private void reserveUpstream(RequestState state, long nowNanos) {
		UpstreamTracker reservedUpstream = this.trials.reservedUpstream();
		if (reservedUpstream != null && reservedUpstream.acceptsRequests() && !reservedUpstream.isEjected(nowNanos)) {
			return;
		}
		this.trials.releaseReservation();
		this.selection.usableTrackers(nowNanos)
			.filter((tracker) -> !tracker.isReserved() && state.mayUse(tracker, nowNanos))
			.filter((tracker) -> this.selection.canReach(state.request(), tracker, nowNanos))
			.min(Comparator.comparing((UpstreamTracker tracker) -> tracker.isCold(nowNanos))
				.thenComparingInt(UpstreamTracker::inFlight))
			.ifPresent(this.trials::reserve);
	}

	private void dispatchFromRank(int minimumRank, long nowNanos) {
		QueuedRequest queued = this.queues.peek(minimumRank);
		while (queued != null) {
			RequestState state = requireState(queued.request().id());
			if (this.crashes.isSuspected(queued.request())) {
				this.queues.removeFirst(queued);
				enqueueForTrial(queued);
				queued = this.queues.peek(minimumRank);
				continue;
			}
			Optional<UpstreamTracker> chosenUpstream = this.selection.chooseFreeSlot(state, nowNanos)
				.or(() -> this.selection.choosePipelined(state, nowNanos));
			if (chosenUpstream.isEmpty()) {
				return;
			}
			this.admission.recordWait(queued, true, nowNanos);
			this.queues.removeFirst(queued);
			dispatch(state, chosenUpstream.get(), queued.kind(), nowNanos - queued.enqueuedNanos(), nowNanos);
			queued = this.queues.peek(minimumRank);
		}
	}

	private RequestState requireState(long requestId) {
		RequestState state = this.requests.get(requestId);
		Assert.state(state != null, "Request " + requestId + " must be open in this router.");
		return state;
	}

	private void dispatch(RequestState state, UpstreamTracker tracker, AttemptKind kind, long queueTimeNanos,
			long nowNanos) {
		AttemptPace pace = tracker.recordDispatch(nowNanos);
		String relay = startOnPath(state, tracker.upstream().name(), nowNanos);
		state.triedUpstreams().add(tracker.upstream().name());
		state.attemptsInFlight()
			.put(tracker.upstream().name(),
					new AttemptStart(nowNanos, tracker.inFlight(), pace, relay, isBudgeted(state, kind)));
		boolean mayHedge = state.request().mayRepeat() && kind != AttemptKind.HEDGE
				&& this.throughput.meanServiceNanos() > 0;
		long hedgeAfterNanos = mayHedge ? hedgeAfterNanos(state.request(), nowNanos) : 0;
		this.effects.add(new Dispatch(state.request().id(), tracker.upstream(), kind, tracker.inFlight(),
				pace.estimatePercent(), queueTimeNanos, hedgeAfterNanos, tracker.isLimited(nowNanos), relay));
	}

	private static boolean isBudgeted(RequestState state, AttemptKind kind) {
		return kind == AttemptKind.HEDGE || (kind == AttemptKind.RETRY && state.hasArrived());
	}

	// After an attempt that could not connect, another instance is preferred also where
	// the path is not known to be lost: successes on kept connections may hide that.
	private @Nullable String startOnPath(RequestState state, String upstream, long nowNanos) {
		String origin = state.request().origin();
		boolean usable = this.paths.isUsable(origin, upstream, nowNanos);
		boolean couldNotConnect = !state.hasArrived() && state.unreachedAttempts() > 0;
		String relay = (usable && !couldNotConnect) ? null
				: this.paths.findRelay(origin, upstream, state.triedRelays(), nowNanos);
		if (relay != null) {
			state.triedRelays().add(relay);
			this.paths.recordRelayStart(relay, nowNanos);
		}
		else if (usable) {
			this.paths.recordAttempt(origin, upstream, nowNanos);
		}
		return relay;
	}

	// The time from which on a hedge may be requested, early enough for it to meet the
	// objective.
	private long hedgeAfterNanos(RoutingRequest request, long nowNanos) {
		double typicalNanos = this.admission.uncontendedServiceNanos();
		double latestDelayNanos = request.urgency().objectiveAtNanos() - nowNanos
				- HEDGE_DURATION_FACTOR * typicalNanos;
		double delayNanos = Math.min(MAXIMUM_HEDGE_DELAY_FACTOR * typicalNanos,
				Math.max(MINIMUM_HEDGE_DELAY_FACTOR * typicalNanos, latestDelayNanos));
		return (long) Math.max(MINIMUM_HEDGE_DELAY_NANOS, delayNanos);
	}

	/**
	 * Returns whether an attempt of a request occupies a slot.
	 * @param requestId the identifier of the request
	 * @param upstream the name of the upstream
	 * @return {@code false} if its completion was recorded, or if this router did not
	 * dispatch it
	 */
	public boolean isInFlight(long requestId, String upstream) {
		RequestState state = this.requests.get(requestId);
		return state != null && state.attemptsInFlight().containsKey(upstream);
	}

	/**
	 * Records the completion of an attempt without a load report and frees its slot.
	 * @param requestId the identifier of the request
	 * @param upstream the name of the upstream
	 * @param result the result of the attempt
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch
	 */
	public List<RoutingEffect> completeAttempt(long requestId, String upstream, AttemptResult result, long nowNanos) {
		return completeAttempt(requestId, upstream, result, null, nowNanos);
	}

	/**
	 * Records the completion of an attempt and frees its slot.
	 * @param requestId the identifier of the request
	 * @param upstream the name of the upstream
	 * @param result the result of the attempt
	 * @param report the load report in the response, or {@code null}
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch
	 */
	public List<RoutingEffect> completeAttempt(long requestId, String upstream, AttemptResult result,
			@Nullable LoadReport report, long nowNanos) {
		RequestState state = requireState(requestId);
		UpstreamTracker tracker = requireTracker(upstream);
		AttemptStart attemptStart = removeAttempt(state, upstream);
		long latencyNanos = nowNanos - attemptStart.startNanos();
		endTrial(state, tracker);
		boolean full = tracker.isFull(nowNanos);
		this.effects.addAll(
				this.crashes.recordCompletion(state.request(), tracker, result, attemptStart.startNanos(), nowNanos));
		if (report != null) {
			recordReport(tracker, report, state.request().origin(), nowNanos);
		}
		if (result == AttemptResult.SUCCESS && (report == null || !report.isLimited())) {
			tracker.rateLimit().clear();
		}
		if (result == AttemptResult.RETURNED) {
			tracker.recordWithoutLatency();
			state.recordResult(result);
			if (attemptStart.budgeted()) {
				this.retryBudget.release();
			}
		}
		else if (isReturnedByEarlierVersion(result, report)) {
			tracker.recordWithoutLatency();
		}
		else if (result == AttemptResult.CANCELLED && attemptStart.relay() == null
				&& this.paths.isPartitioned(state.request().origin(), nowNanos)) {
			// The time that it took is that of the lost path.
			tracker.recordWithoutLatency();
			state.recordResult(result);
		}
		else {
			tracker.recordCompletion(result, latencyNanos, attemptStart.pace().estimate(), nowNanos);
			state.recordResult(result);
			if (result == AttemptResult.UNREACHABLE && attemptStart.budgeted()) {
				this.retryBudget.release();
			}
		}
		this.attribution.recordCompletion(state.request().origin(), attemptStart.relay(), tracker, result, full,
				nowNanos);
		if (result == AttemptResult.SUCCESS) {
			this.contention.recordAttempt(attemptStart.inFlight(), tracker.upstream().slots(),
					latencyNanos / attemptStart.pace().estimate());
			this.throughput.recordCompletion(latencyNanos, nowNanos);
		}
		return useReleasedSlot(state, nowNanos);
	}

	/**
	 * Frees the slot of an attempt whose completion was not reported: its instance has
	 * stopped, or messages were lost, so that the attempt may not even have been made.
	 * The time until now says nothing about the upstream.
	 * @param requestId the identifier of the request
	 * @param upstream the name of the upstream
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch
	 */
	public List<RoutingEffect> releaseAttempt(long requestId, String upstream, long nowNanos) {
		RequestState state = requireState(requestId);
		UpstreamTracker tracker = requireTracker(upstream);
		AttemptStart attemptStart = removeAttempt(state, upstream);
		endTrial(state, tracker);
		tracker.recordWithoutLatency();
		state.recordResult(AttemptResult.CANCELLED);
		this.attribution.recordCompletion(state.request().origin(), attemptStart.relay(), tracker,
				AttemptResult.CANCELLED, false, nowNanos);
		return useReleasedSlot(state, nowNanos);
	}

	private UpstreamTracker requireTracker(String upstream) {
		UpstreamTracker tracker = this.trackers.get(upstream);
		Assert.state(tracker != null, "Upstream '" + upstream + "' must be known.");
		return tracker;
	}

	private static AttemptStart removeAttempt(RequestState state, String upstream) {
		AttemptStart attemptStart = state.attemptsInFlight().remove(upstream);
		Assert.state(attemptStart != null, "Attempt at '" + upstream + "' must be in flight.");
		return attemptStart;
	}

	private List<RoutingEffect> useReleasedSlot(RequestState state, long nowNanos) {
		removeDiscardable();
		removeIfCompleted(state);
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	// Instances of earlier versions return the grant of a cold upstream as a cancelled
	// attempt. Its duration says nothing about the upstream, and a further attempt is no
	// retry.
	private static boolean isReturnedByEarlierVersion(AttemptResult result, @Nullable LoadReport report) {
		return result == AttemptResult.CANCELLED && report != null && report.coldMillis() > 0;
	}

	private void recordReport(UpstreamTracker tracker, LoadReport report, String origin, long nowNanos) {
		tracker.recordReport(report, origin, nowNanos);
		if (tracker.coldLimit().recordReport(report, nowNanos)) {
			addColdEffect(tracker, nowNanos);
		}
	}

	private void endTrial(RequestState state, UpstreamTracker tracker) {
		if (state.exclusiveUpstream() == tracker) {
			state.setExclusiveUpstream(null);
			tracker.setReserved(false);
			this.trials.complete(state.request());
		}
	}

	/**
	 * Requests another attempt after one that failed. It must have been checked before
	 * that the request may be sent again. Has no effect while an earlier retry waits for
	 * its decision.
	 * @param requestId the identifier of the request
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return its dispatch or refusal, or nothing if it was queued
	 */
	public List<RoutingEffect> retry(long requestId, long nowNanos) {
		RequestState state = this.requests.get(requestId);
		if (state == null || state.isClosed() || isQueued(state.request())) {
			return List.of();
		}
		Refusal quarantineRefusal = this.crashes.findQuarantine(state.request(), nowNanos);
		if (quarantineRefusal != null) {
			return List.of(quarantineRefusal);
		}
		RefusalReason reason = findRetryRefusal(state, nowNanos);
		if (reason != null) {
			return List.of(new Refusal(requestId, reason, this.admission.retryAfterMillis(state.request(),
					AdmissionControl.NO_BUDGET_RETRY_AFTER_MILLIS, nowNanos)));
		}
		boolean hasUntriedUpstream = this.selection.usableTrackers(nowNanos)
			.anyMatch((tracker) -> state.mayUse(tracker, nowNanos)
					&& this.selection.canReach(state.request(), tracker, nowNanos));
		if (!hasUntriedUpstream) {
			return List.of(new Refusal(requestId, RefusalReason.NO_UPSTREAM, this.admission
				.retryAfterMillis(state.request(), AdmissionControl.NO_UPSTREAM_RETRY_AFTER_MILLIS, nowNanos)));
		}
		enqueue(state.request(), AttemptKind.RETRY, nowNanos);
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	private boolean isQueued(RoutingRequest request) {
		return this.queues.contains(request) || this.trials.contains(request);
	}

	// Takes a token from the retry budget if nothing else is in the way.
	private @Nullable RefusalReason findRetryRefusal(RequestState state, long nowNanos) {
		if (state.countedAttempts() >= state.request().maximumAttempts()
				|| state.unreachedAttempts() >= MAXIMUM_UNREACHED_ATTEMPTS) {
			return RefusalReason.ATTEMPTS_USED;
		}
		if (nowNanos >= state.request().deadlineNanos()) {
			return RefusalReason.DEADLINE_PASSED;
		}
		return (state.hasArrived() && !this.retryBudget.tryAcquire(nowNanos)) ? RefusalReason.RETRY_BUDGET : null;
	}

	/**
	 * Requests a second attempt in parallel to a slow one. It is dispatched only if the
	 * first one takes longer than usual or will miss the objective, no request is queued,
	 * a suitable slot is free and the retry budget allows it; if the first attempt is
	 * lost with the path of its instance, like a retry.
	 * @param requestId the identifier of the request
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return its dispatch, or nothing
	 */
	public List<RoutingEffect> hedge(long requestId, long nowNanos) {
		RequestState state = this.requests.get(requestId);
		if (state == null || !mayHedge(state)) {
			return List.of();
		}
		boolean lost = isAttemptLost(state, nowNanos);
		if (!lost && (this.queues.size() > 0 || !isHedgeDue(state, nowNanos))) {
			return List.of();
		}
		Optional<UpstreamTracker> chosenUpstream = lost ? this.selection.chooseFreeSlot(state, nowNanos)
				: this.selection.chooseUncontended(state, nowNanos)
					.or(() -> this.selection.chooseForStuckAttempt(state, nowNanos));
		if (chosenUpstream.isEmpty()
				|| !(lost ? this.retryBudget.tryAcquire(nowNanos) : this.retryBudget.tryAcquireForHedge(nowNanos))) {
			return List.of();
		}
		dispatch(state, chosenUpstream.get(), AttemptKind.HEDGE, 0, nowNanos);
		return takeEffects();
	}

	// Whether each attempt in flight takes longer than usual, or is expected to miss an
	// objective that a hedge can still meet.
	private boolean isHedgeDue(RequestState state, long nowNanos) {
		double typicalNanos = this.admission.uncontendedServiceNanos();
		long objectiveAtNanos = state.request().urgency().objectiveAtNanos();
		boolean objectiveInReach = nowNanos + typicalNanos <= objectiveAtNanos;
		return state.attemptsInFlight().values().stream().allMatch((attempt) -> {
			boolean overdue = nowNanos - attempt.startNanos() >= OVERDUE_FACTOR * typicalNanos;
			double expectedEndNanos = attempt.startNanos() + attempt.pace().corrected() * typicalNanos;
			return overdue || (objectiveInReach && expectedEndNanos > objectiveAtNanos);
		});
	}

	private boolean mayHedge(RequestState state) {
		return !state.isClosed() && !state.attemptsInFlight().isEmpty()
				&& state.countedAttempts() < Math.min(2, state.request().maximumAttempts())
				&& state.unreachedAttempts() < MAXIMUM_UNREACHED_ATTEMPTS
				&& this.crashes.crashesUnder(state.request()) == 0;
	}

	// Whether the instance that made the attempt has been partitioned meanwhile, so that
	// no response can be expected.
	private boolean isAttemptLost(RequestState state, long nowNanos) {
		return this.paths.isPartitioned(state.request().origin(), nowNanos)
				&& state.attemptsInFlight().values().stream().allMatch((attempt) -> attempt.relay() == null);
	}

	/**
	 * Closes a request because its caller has received a response or has disconnected.
	 * Its attempts in flight occupy their slots until they complete.
	 * @param requestId the identifier of the request
	 */
	public void close(long requestId) {
		RequestState state = this.requests.get(requestId);
		if (state == null || state.isClosed()) {
			return;
		}
		state.markClosed();
		this.queues.remove(state.request());
		this.trials.remove(state.request());
		this.queues.recordClose(state.request().queueName());
		removeIfCompleted(state);
	}

	/**
	 * Records that the gateway of a request routes it by itself, because this home has
	 * not responded in time. The request counts for the retry budget of that gateway. To
	 * be called before {@link #close}.
	 * @param requestId the identifier of the request
	 */
	public void takeBack(long requestId) {
		RequestState state = this.requests.get(requestId);
		if (state != null && !state.isClosed()) {
			this.retryBudget.withdrawRequest(this.rule.retryPercent());
		}
	}

	private void removeIfCompleted(RequestState state) {
		if (state.isClosed() && state.attemptsInFlight().isEmpty()) {
			this.requests.remove(state.request().id());
		}
	}

	/**
	 * Performs the work that depends on time: refuses queued requests that expired or can
	 * no longer be served in time, and sends the probes that are due.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the refusals, the probes and the requests to dispatch
	 */
	public List<RoutingEffect> tick(long nowNanos) {
		int position = 0;
		long usableSlots = this.selection.usableSlots(nowNanos);
		for (QueuedRequest queued : this.queues.inServiceOrder()) {
			position++;
			int rank = this.admission.currentRank(queued, nowNanos);
			boolean rankChanged = rank != queued.rank();
			boolean mustRefuse = this.admission.willMissDeadline(queued.request(), position, nowNanos)
					|| (rank > queued.rank() && !this.admission.hasRoomForLateRequests(usableSlots));
			if (mustRefuse || queued.expiryNanos() <= nowNanos) {
				this.admission.recordWait(queued, false, nowNanos);
				this.queues.remove(queued);
				this.effects.add(new Refusal(queued.request().id(), RefusalReason.QUEUE_TIMEOUT,
						this.admission.retryAfterMillisAtPosition(queued.request(), position, nowNanos)));
				position--;
			}
			else if (rankChanged) {
				this.admission.recordWait(queued, false, nowNanos);
				this.queues.remove(queued);
				this.queues.add(new QueuedRequest(queued.request(), queued.kind(), rank, queued.enqueuedNanos(),
						queued.expiryNanos(), queued.expectedWaitNanos()), false);
			}
		}
		for (QueuedRequest queued : this.trials.waiting()) {
			if (queued.expiryNanos() <= nowNanos) {
				this.trials.remove(queued.request());
				this.effects.add(Refusal.quarantined(queued.request(), TRIAL_RETRY_AFTER_NANOS));
			}
		}
		this.probes.sendDueProbes(nowNanos);
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	/**
	 * Records the result of a pace probe.
	 * @param upstream the name of the upstream
	 * @param report the load report of the upstream
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch
	 */
	public List<RoutingEffect> recordPaceProbe(String upstream, LoadReport report, long nowNanos) {
		UpstreamTracker tracker = this.trackers.get(upstream);
		if (tracker != null) {
			tracker.recordReport(report, "", nowNanos);
			if (tracker.coldLimit().recordReport(report, nowNanos)) {
				addColdEffect(tracker, nowNanos);
			}
			this.attribution.recordReached(UpstreamPaths.HOME, upstream, nowNanos);
		}
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	/**
	 * Records the result of a connection probe. An upstream that could be reached is used
	 * again, with one request at a time until one succeeds.
	 * @param upstream the name of the upstream
	 * @param reachable whether a connection could be opened
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the requests to dispatch
	 */
	public List<RoutingEffect> recordConnectionProbe(String upstream, boolean reachable, long nowNanos) {
		UpstreamTracker tracker = this.trackers.get(upstream);
		boolean conclusive = reachable || !this.paths.isPartitioned(UpstreamPaths.HOME, nowNanos);
		boolean crashed = conclusive && this.crashes.recordProbe(upstream, reachable);
		boolean undecided = this.crashes.isUndecided(upstream);
		if (reachable) {
			this.attribution.recordReached(UpstreamPaths.HOME, upstream, nowNanos);
		}
		if (tracker != null && tracker.awaitsConnectionProbe()) {
			tracker.recordConnectionProbe(reachable, nowNanos);
		}
		else if (tracker != null && crashed) {
			this.paths.recordFailure(UpstreamPaths.HOME, upstream, this.trackers.size(), nowNanos);
			this.attribution.recordFailure(tracker, AttemptResult.UNREACHABLE, UpstreamPaths.HOME, nowNanos);
		}
		else if (tracker != null && !reachable && !undecided) {
			this.attribution.recordUnreachable(UpstreamPaths.HOME, tracker, nowNanos);
		}
		this.effects.addAll(this.crashes.takeNews(nowNanos));
		dispatchQueued(nowNanos);
		return takeEffects();
	}

	/**
	 * Returns whether {@link #tick} must be called at intervals: for queued requests, for
	 * ejected upstreams that await a connection probe, or for pace probes.
	 * @return whether {@link #tick} has work
	 */
	public boolean needsTick() {
		return this.probes.isPaceProbing() || this.queues.size() > 0 || !this.trials.isEmpty()
				|| this.trackers.values().stream().anyMatch(UpstreamTracker::awaitsConnectionProbe);
	}

	/**
	 * Returns the number of queued requests.
	 * @return the count
	 */
	public int queuedRequests() {
		return this.queues.size();
	}

	/**
	 * Returns the use of the slots of the service.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the load
	 */
	public ServiceLoad load(long nowNanos) {
		List<UpstreamTracker> usableTrackers = this.selection.usableTrackers(nowNanos).toList();
		long oldestStartNanos = this.requests.values()
			.stream()
			.flatMap((state) -> state.attemptsInFlight().values().stream())
			.mapToLong(AttemptStart::startNanos)
			.min()
			.orElse(nowNanos);
		return new ServiceLoad(usableTrackers.size(),
				usableTrackers.stream().mapToLong((tracker) -> tracker.usableSlots(nowNanos)).sum(),
				this.trackers.values().stream().mapToInt(UpstreamTracker::inFlight).sum(), this.queues.size(),
				Duration.ofNanos(nowNanos - oldestStartNanos).toMillis(),
				(int) usableTrackers.stream().filter((tracker) -> tracker.isOverrun(nowNanos)).count());
	}

	/**
	 * Returns the number of requests that are not closed or have attempts in flight.
	 * @return the count
	 */
	public int openRequests() {
		return this.requests.size();
	}

	/**
	 * Returns the number of attempts in flight at an upstream.
	 * @param upstream the name of the upstream
	 * @return the count
	 */
	public int inFlight(String upstream) {
		UpstreamTracker tracker = this.trackers.get(upstream);
		return (tracker != null) ? tracker.inFlight() : 0;
	}

}
