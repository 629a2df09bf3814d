package org.radishthread.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the free upstream that is expected to answer first. A straggler is passed over
 * while waiting for another slot takes less time, but for a rare trial that tells whether
 * it recovered. Among equals the own availability zone goes first, then the one with the
 * fewest requests in flight.
 */
final class LeastExpectedCompletion implements SelectionPolicy {

	private static final double STRAGGLER_FACTOR = 3;

	@Override
	public Optional<UpstreamLoad> choose(List<UpstreamLoad> free, SelectionContext context) {
		Optional<UpstreamLoad> normal = free.stream()
			.filter((load) -> !isStraggler(load, context))
			.min(byZoneAndLoad(context));
		if (normal.isPresent()) {
			return context.mayRepeat() ? trialDue(free, context).or(() -> normal) : normal;
		}
		return free.stream()
			.filter((load) -> load.latencyNanos() < context.expectedWaitNanos() + context.medianLatencyNanos())
			.min(Comparator.comparingDouble(UpstreamLoad::latencyNanos));
	}

	private static Optional<UpstreamLoad> trialDue(List<UpstreamLoad> free, SelectionContext context) {
		return free.stream()
			.filter((load) -> isStraggler(load, context) && load.isTrialDue(context.nowNanos()))
			.findFirst();
	}

	static boolean isStraggler(UpstreamLoad load, SelectionContext context) {
		return load.isLatencyKnown() && context.medianLatencyNanos() > 0
				&& load.latencyNanos() > STRAGGLER_FACTOR * context.medianLatencyNanos();
	}

	private static Comparator<UpstreamLoad> byZoneAndLoad(SelectionContext context) {
		return Comparator.<UpstreamLoad>comparingInt((load) -> load.upstream().zone().equals(context.zone()) ? 0 : 1)
			.thenComparingDouble((load) -> (double) load.inFlight() / load.upstream().slots());
	}

}
