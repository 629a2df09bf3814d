package org.radishthread.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.radishthread.routing.RequestState.AttemptStart;
import org.radishthread.routing.SelectionContext.OverrunUse;

/**
 * Selects the upstream of an attempt among those of one service: those that may be used,
 * can be reached and are expected to respond in time, in the order of a
 * {@link SelectionPolicy}. Points in time are monotonic, in nanoseconds. Not safe for
 * concurrent use.
 */
final class UpstreamSelection {

	// An attempt that takes longer than this multiple of the typical duration
	// counts as stuck.
	private static final double STUCK_ATTEMPT_FACTOR = 5;

	// Of this number of upstreams, one at least must be fast for a request to wait for a
	// better pace.
	private static final int FAST_UPSTREAMS_DIVISOR = 4;

	private final RouterSettings settings;

	private final SelectionPolicy policy;

	// The upstreams of the service by name, shared with the router.
	private final Map<String, UpstreamTracker> trackers;

	private final UpstreamPaths paths;

	private final CallerQueues queues;

	private final ThroughputEstimate throughput;

	private final ContentionEstimate contention;

	private final AdmissionControl admission;

	UpstreamSelection(RouterSettings settings, SelectionPolicy policy, Map<String, UpstreamTracker> trackers,
			UpstreamPaths paths, CallerQueues queues, ThroughputEstimate throughput, ContentionEstimate contention,
			AdmissionControl admission) {
		this.settings = settings;
		this.policy = policy;
		this.trackers = trackers;
		this.paths = paths;
		this.queues = queues;
		this.throughput = throughput;
		this.contention = contention;
		this.admission = admission;
	}

	// Whether the instance that received the request, or another one, can send it there.
	boolean canReach(RoutingRequest request, UpstreamTracker tracker, long nowNanos) {
		String upstream = tracker.upstream().name();
		return this.paths.isUsable(request.origin(), upstream, nowNanos)
				|| this.paths.hasRelay(request.origin(), upstream, nowNanos);
	}

	Stream<UpstreamTracker> usableTrackers(long nowNanos) {
		return this.trackers.values()
			.stream()
			.filter((tracker) -> tracker.acceptsRequests() && !tracker.isEjected(nowNanos));
	}

	long usableSlots(long nowNanos) {
		return usableTrackers(nowNanos).mapToLong((tracker) -> tracker.usableSlots(nowNanos)).sum();
	}

	// Prefers slots that can be used without contention, then what cold upstreams
	// tolerate.
	Optional<UpstreamTracker> chooseFreeSlot(RequestState state, long nowNanos) {
		return chooseUncontended(state, nowNanos)
			.or(() -> choose(state, nowNanos, (tracker) -> tracker.isCold(nowNanos) && tracker.hasFreeSlot(nowNanos)))
			.or(() -> choose(state, nowNanos,
					(tracker) -> tracker.hasFreeSlot(nowNanos) && mayUseContendedSlot(tracker)));
	}

	Optional<UpstreamTracker> chooseUncontended(RequestState state, long nowNanos) {
		return choose(state, nowNanos,
				(tracker) -> tracker.hasFreeSlot(nowNanos) && tracker.isUncontended() && !tracker.isCold(nowNanos));
	}

	// For a request that runs alone. A crash of a cold upstream would say less.
	Optional<UpstreamTracker> chooseIdle(RequestState state, long nowNanos) {
		return choose(state, nowNanos,
				(tracker) -> tracker.isIdle(nowNanos) && !tracker.isReserved() && !tracker.isCold(nowNanos))
			.or(() -> choose(state, nowNanos, (tracker) -> tracker.isIdle(nowNanos) && !tracker.isReserved()));
	}

	private boolean mayUseContendedSlot(UpstreamTracker tracker) {
		return !this.contention.reducesThroughput(tracker.upstream().slots()) || this.contention.tryStartTrial();
	}

	// While all slots are in use, chooses an upstream for a request to wait at,
	// so that it is there when the next slot becomes free.
	Optional<UpstreamTracker> choosePipelined(RequestState state, long nowNanos) {
		double queuedPerSlot = (double) this.queues.size() / Math.max(1, usableSlots(nowNanos));
		return choose(state, nowNanos,
				(tracker) -> tracker.mayPipeline(nowNanos, queuedPerSlot, this.throughput.meanServiceNanos())
						&& !this.contention.reducesThroughput(tracker.upstream().slots()));
	}

	Optional<UpstreamTracker> choose(RequestState state, long nowNanos, Predicate<UpstreamTracker> eligible) {
		double highestUsefulPace = highestUsefulPace(nowNanos);
		List<UpstreamTracker> candidates = this.trackers.values()
			.stream()
			.filter(eligible)
			.filter((tracker) -> !tracker.isTransientlySlow(highestUsefulPace, nowNanos))
			.filter((tracker) -> state.mayUse(tracker, nowNanos) && canReach(state.request(), tracker, nowNanos))
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		long latestCompletionNanos = this.admission.latestUsefulCompletionNanos(state.request(), nowNanos);
		for (OverrunUse overrunUse : OverrunUse.values()) {
			SelectionContext context = context(state, overrunUse, nowNanos);
			Optional<UpstreamTracker> chosen = choose(candidates, latestCompletionNanos, context);
			if (chosen.isPresent() || isWorthWaiting(state, latestCompletionNanos, context)) {
				return chosen;
			}
		}
		return chooseForTrial(candidates, context(state, OverrunUse.IGNORED, nowNanos));
	}

	// An attempt that begins at a higher pace occupies its slot for longer than it takes
	// until the pace has changed and an attempt has run at the usual one.
	private double highestUsefulPace(long nowNanos) {
		double typicalNanos = this.admission.uncontendedServiceNanos();
		double[] paces = usableTrackers(nowNanos).mapToDouble((tracker) -> tracker.paceFactor(nowNanos))
			.sorted()
			.toArray();
		if (paces.length == 0 || typicalNanos == 0) {
			return Double.POSITIVE_INFINITY;
		}
		return paces[paces.length / FAST_UPSTREAMS_DIVISOR] + PaceEstimate.DECAY_TIME_NANOS / typicalNanos;
	}

	private Optional<UpstreamTracker> choose(List<UpstreamTracker> candidates, long latestCompletionNanos,
			SelectionContext context) {
		List<UpstreamTracker> timelyCandidates = candidates.stream()
			.filter((tracker) -> context.nowNanos() + context.expectedDurationNanos(tracker) <= latestCompletionNanos)
			.toList();
		return timelyCandidates.isEmpty() ? Optional.empty() : this.policy.choose(timelyCandidates, context);
	}

	// Other requests than before may take less time. Without trials, an estimate that
	// rules out all upstreams would never change.
	private static Optional<UpstreamTracker> chooseForTrial(List<UpstreamTracker> candidates,
			SelectionContext context) {
		return candidates.stream()
			.filter((tracker) -> tracker.isStragglerTrialDue(context.nowNanos()))
			.min(Comparator.comparingDouble(context::expectedDurationNanos));
	}

	private SelectionContext context(RequestState state, OverrunUse overrunUse, long nowNanos) {
		return new SelectionContext(state.request().zone().isEmpty() ? this.settings.zone() : state.request().zone(),
				medianLatencyNanos(), this.throughput.expectedWaitNanos(this.queues.size()),
				this.throughput.meanServiceNanos(), this.contention, overrunUse, state.request().mayRepeat(), nowNanos);
	}

	// Whether a slot of an upstream that is not eligible now would be of use later.
	private boolean isWorthWaiting(RequestState state, long latestCompletionNanos, SelectionContext context) {
		long nowNanos = context.nowNanos();
		return usableTrackers(nowNanos)
			.filter((tracker) -> state.mayUse(tracker, nowNanos) && canReach(state.request(), tracker, nowNanos))
			.anyMatch((tracker) -> {
				double durationNanos = tracker.idleDurationNanos(context.defaultServiceNanos(), context.overrunUse(),
						nowNanos);
				return nowNanos + durationNanos <= latestCompletionNanos
						&& !context.isStraggler(tracker, durationNanos);
			});
	}

	private double medianLatencyNanos() {
		double[] latenciesNanos = this.trackers.values()
			.stream()
			.filter(UpstreamTracker::isLatencyKnown)
			.mapToDouble(UpstreamTracker::meanLatencyNanos)
			.sorted()
			.toArray();
		return (latenciesNanos.length == 0) ? 0 : latenciesNanos[(latenciesNanos.length - 1) / 2];
	}

	// In parallel to an attempt that seems stuck, even a straggler or a contended
	// slot may be used.
	Optional<UpstreamTracker> chooseForStuckAttempt(RequestState state, long nowNanos) {
		long latestStartNanos = state.attemptsInFlight()
			.values()
			.stream()
			.mapToLong(AttemptStart::startNanos)
			.max()
			.orElse(nowNanos);
		if (nowNanos - latestStartNanos < STUCK_ATTEMPT_FACTOR * this.admission.typicalServiceNanos()) {
			return Optional.empty();
		}
		SelectionContext context = context(state, OverrunUse.COUNTED, nowNanos);
		return this.trackers.values()
			.stream()
			.filter((tracker) -> tracker.hasFreeSlot(nowNanos) && !tracker.isCold(nowNanos))
			.filter((tracker) -> state.mayUse(tracker, nowNanos) && canReach(state.request(), tracker, nowNanos))
			.min(Comparator.comparingDouble(context::expectedDurationNanos));
	}

}
