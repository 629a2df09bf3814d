package org.radishthread.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the upstream that is expected to complete the request first. Stragglers are
 * avoided while waiting for another slot takes less time, except for occasional trials
 * that show whether they have recovered. Among upstreams that are about equally fast and
 * whose pace is about equally certain, one that just joined is preferred, then one in the
 * availability zone of the request, then the one with the smallest share of its slots in
 * use.
 */
final class EarliestCompletionPolicy implements SelectionPolicy {

	// Upstreams whose expected durations are within this factor of the shortest
	// count as equally fast.
	private static final double SIMILAR_DURATION_FACTOR = 1.6;

	// Of these, upstreams whose estimated paces are within this factor of the best one
	// count as equally likely to have it.
	private static final double SIMILAR_PACE_FACTOR = 1.1;

	@Override
	public Optional<UpstreamTracker> choose(List<UpstreamTracker> candidates, SelectionContext context) {
		List<UpstreamTracker> withoutStragglers = candidates.stream()
			.filter((tracker) -> !context.isStraggler(tracker))
			.toList();
		if (!withoutStragglers.isEmpty()) {
			Optional<UpstreamTracker> fastest = chooseAmongFastest(withoutStragglers, context);
			return context.mayRepeat() ? findStragglerDueForTrial(candidates, context).or(() -> fastest) : fastest;
		}
		return candidates.stream()
			.filter((tracker) -> context.expectedDurationNanos(tracker) < context.expectedWaitNanos()
					+ context.medianLatencyNanos())
			.min(Comparator.comparingDouble(context::expectedDurationNanos));
	}

	private static Optional<UpstreamTracker> chooseAmongFastest(List<UpstreamTracker> candidates,
			SelectionContext context) {
		List<UpstreamTracker> fastest = nearMinimum(candidates, context::expectedDurationNanos,
				SIMILAR_DURATION_FACTOR);
		// The longer ago an upstream reported a good pace, the higher is its estimate.
		return nearMinimum(fastest, (tracker) -> tracker.paceFactor(context.nowNanos()), SIMILAR_PACE_FACTOR).stream()
			.min(byZoneAndLoad(context));
	}

	private static List<UpstreamTracker> nearMinimum(List<UpstreamTracker> candidates,
			ToDoubleFunction<UpstreamTracker> value, double factor) {
		double limit = factor * candidates.stream().mapToDouble(value).min().orElse(0);
		return candidates.stream().filter((tracker) -> value.applyAsDouble(tracker) <= limit).toList();
	}

	private static Optional<UpstreamTracker> findStragglerDueForTrial(List<UpstreamTracker> candidates,
			SelectionContext context) {
		return candidates.stream()
			.filter((tracker) -> context.isStraggler(tracker) && tracker.isStragglerTrialDue(context.nowNanos()))
			.findFirst();
	}

	private static Comparator<UpstreamTracker> byZoneAndLoad(SelectionContext context) {
		return Comparator.<UpstreamTracker>comparingInt((tracker) -> tracker.isNewAndUntried() ? 0 : 1)
			.thenComparingInt((tracker) -> tracker.upstream().zone().equals(context.zone()) ? 0 : 1)
			.thenComparingDouble((tracker) -> (double) tracker.inFlight() / tracker.upstream().slots());
	}

}
