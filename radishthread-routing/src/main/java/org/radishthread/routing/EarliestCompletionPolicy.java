package org.radishthread.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the free upstream that is expected to answer first. A straggler is passed over
 * while waiting for another slot takes less time, but for a rare trial that tells whether
 * it recovered. Among those that are about as fast one that just joined goes first, then
 * the own availability zone, then the one with the fewest requests in flight.
 */
final class EarliestCompletionPolicy implements SelectionPolicy {

	private static final double STRAGGLER_FACTOR = 3;

	// Expected times within this factor of the least count as equal.
	private static final double ABOUT_EQUAL = 1.6;

	@Override
	public Optional<UpstreamTracker> choose(List<UpstreamTracker> free, SelectionContext context) {
		List<UpstreamTracker> normal = free.stream().filter((load) -> !isStraggler(load, context)).toList();
		if (!normal.isEmpty()) {
			Optional<UpstreamTracker> fastest = fastest(normal, context);
			return context.mayRepeat() ? trialDue(free, context).or(() -> fastest) : fastest;
		}
		return free.stream()
			.filter((load) -> context.expectedNanos(load) < context.expectedWaitNanos() + context.medianLatencyNanos())
			.min(Comparator.comparingDouble(context::expectedNanos));
	}

	private static Optional<UpstreamTracker> fastest(List<UpstreamTracker> candidates, SelectionContext context) {
		double least = candidates.stream().mapToDouble(context::expectedNanos).min().orElse(0);
		return candidates.stream()
			.filter((load) -> context.expectedNanos(load) <= least * ABOUT_EQUAL)
			.min(byZoneAndLoad(context));
	}

	private static Optional<UpstreamTracker> trialDue(List<UpstreamTracker> free, SelectionContext context) {
		return free.stream()
			.filter((load) -> isStraggler(load, context) && load.isTrialDue(context.nowNanos()))
			.findFirst();
	}

	static boolean isStraggler(UpstreamTracker load, SelectionContext context) {
		return load.isLatencyKnown() && context.medianLatencyNanos() > 0
				&& context.expectedNanos(load) > STRAGGLER_FACTOR * context.medianLatencyNanos();
	}

	private static Comparator<UpstreamTracker> byZoneAndLoad(SelectionContext context) {
		return Comparator.<UpstreamTracker>comparingInt((load) -> load.isNewAndUntried() ? 0 : 1)
			.thenComparingInt((load) -> load.upstream().zone().equals(context.zone()) ? 0 : 1)
			.thenComparingDouble((load) -> (double) load.inFlight() / load.upstream().slots());
	}

}
