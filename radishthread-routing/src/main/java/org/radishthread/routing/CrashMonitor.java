package org.radishthread.routing;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.CrashFound;
import org.radishthread.routing.RoutingEffect.CrashesCleared;
import org.radishthread.routing.RoutingEffect.Refusal;

/**
 * Relates the crashes of the upstreams of one service to the requests that they ran, for
 * the {@link CrashHistory} of the instance. Points in time are monotonic, in nanoseconds.
 * Not safe for concurrent use.
 */
final class CrashMonitor {

	private final CrashHistory history;

	private final CrashChecks checks = new CrashChecks();

	CrashMonitor(CrashHistory history) {
		this.history = history;
	}

	@Nullable Refusal findQuarantine(RoutingRequest request, long nowNanos) {
		long quarantineNanos = this.history.quarantineNanos(request.digest(), nowNanos);
		return (quarantineNanos > 0) ? Refusal.quarantined(request, quarantineNanos) : null;
	}

	// An upstream that may have crashed counts as crashed until that is known.
	int crashesUnder(RoutingRequest request) {
		if (request.digest().isEmpty()) {
			return 0;
		}
		return this.history.crashCount(request.digest()) + (this.checks.isPending(request.digest()) ? 1 : 0);
	}

	boolean isSuspected(RoutingRequest request) {
		return crashesUnder(request) >= CrashHistory.SUSPICION_CRASHES;
	}

	/**
	 * Records the completion of an attempt.
	 * @param request the request
	 * @param tracker the upstream, with the attempt still in flight
	 * @param result the result of the attempt
	 * @param startNanos the start of the attempt
	 * @param nowNanos the current time
	 * @return the probe of an upstream that may have crashed, and the news for the other
	 * gateways
	 */
	List<RoutingEffect> recordCompletion(RoutingRequest request, UpstreamTracker tracker, AttemptResult result,
			long startNanos, long nowNanos) {
		List<RoutingEffect> effects = new ArrayList<>();
		boolean probeDue = switch (result) {
			case CONNECTION_LOST -> this.checks.recordLoss(tracker.upstream(), request.digest(), startNanos,
					tracker.inFlight(), tracker.isFull(nowNanos), nowNanos);
			case UNREACHABLE -> this.checks.recordUnreachable(tracker.upstream().name());
			default -> false;
		};
		if (result.showsThatUpstreamWorks()) {
			this.checks.recordResponse(tracker.upstream().name(), nowNanos);
		}
		if (probeDue) {
			effects.add(new ConnectionProbe(tracker.upstream()));
		}
		else if (result == AttemptResult.SUCCESS && this.history.clear(request.digest(), nowNanos)) {
			effects.add(new CrashesCleared(request.digest(), nowNanos));
		}
		effects.addAll(takeNews(nowNanos));
		return effects;
	}

	// Returns whether the upstream has crashed.
	boolean recordProbe(String upstream, boolean reachable) {
		return this.checks.recordProbe(upstream, reachable);
	}

	// Returns whether a full upstream may have crashed, which is not decided yet.
	boolean isUndecided(String upstream) {
		return this.checks.isUndecided(upstream);
	}

	// Returns whether a suspected upstream has been started again.
	boolean recordIncarnation(Upstream upstream, long nowNanos) {
		return this.checks.recordIncarnation(upstream, nowNanos);
	}

	List<RoutingEffect> takeNews(long nowNanos) {
		List<RoutingEffect> effects = new ArrayList<>();
		for (CrashRecord crash : this.checks.takeCrashes(nowNanos)) {
			if (this.history.record(crash, nowNanos)) {
				effects.add(new CrashFound(crash));
			}
		}
		return effects;
	}

}
