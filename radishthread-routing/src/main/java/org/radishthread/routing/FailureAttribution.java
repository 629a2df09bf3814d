package org.radishthread.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.PartitionChanged;
import org.radishthread.routing.RoutingEffect.UpstreamEjected;
import org.radishthread.routing.RoutingEffect.UpstreamFull;
import org.radishthread.routing.UpstreamTracker.EjectionRule;
import org.radishthread.rules.ServiceRule;

/**
 * Attributes the results of attempts and probes to an upstream or to the path from one
 * instance to it, and ejects upstreams that fail. Points in time are monotonic, in
 * nanoseconds. Not safe for concurrent use.
 */
final class FailureAttribution {

	// A failing upstream is ejected only if at most this share of the upstreams that
	// accept requests is ejected then, or if it is the only one.
	private static final double MAXIMUM_EJECTED_SHARE = 0.5;

	private static final long SECOND_OPINION_INTERVAL_NANOS = 500_000_000;

	private final UpstreamPaths paths;

	// The upstreams of the service by name, shared with the router.
	private final Map<String, UpstreamTracker> trackers;

	private final Supplier<ServiceRule> rule;

	private final Consumer<RoutingEffect> effects;

	// The upstreams whose ejection is founded on failures to connect, by name.
	private final Set<String> unreachableUpstreams = new HashSet<>();

	// The times of the probes that followed a failure at another instance, by upstream.
	private final Map<String, Long> secondOpinionNanos = new HashMap<>();

	FailureAttribution(UpstreamPaths paths, Map<String, UpstreamTracker> trackers, Supplier<ServiceRule> rule,
			Consumer<RoutingEffect> effects) {
		this.paths = paths;
		this.trackers = trackers;
		this.rule = rule;
		this.effects = effects;
	}

	void forgetUpstream(String upstream) {
		this.paths.forgetUpstream(upstream);
		this.unreachableUpstreams.remove(upstream);
		this.secondOpinionNanos.remove(upstream);
	}

	// The upstream is full if it may have had no room for the attempt.
	void recordCompletion(String origin, @Nullable String relay, UpstreamTracker tracker, AttemptResult result,
			boolean full, long nowNanos) {
		String sender = (relay != null) ? relay : origin;
		if (relay != null) {
			this.paths.recordRelayEnd(relay);
		}
		if (result == AttemptResult.CONNECTION_LOST && full) {
			backOff(tracker, nowNanos);
		}
		else if (result.showsThatUpstreamWorks()) {
			recordReached(sender, tracker.upstream().name(), nowNanos);
		}
		else if (result == AttemptResult.UNREACHABLE) {
			recordUnreachable(sender, tracker, nowNanos);
		}
		else if (result.countsAgainstUpstream() && !this.paths.isPartitioned(sender, nowNanos)) {
			recordFailure(tracker, result, sender, nowNanos);
		}
	}

	// A full upstream that resets connections works, so it is not ejected.
	private void backOff(UpstreamTracker tracker, long nowNanos) {
		long backOffNanos = tracker.backOff(nowNanos);
		this.effects.accept(new UpstreamFull(tracker.upstream().name(), Duration.ofNanos(backOffNanos).toMillis()));
	}

	void recordReached(String sender, String upstream, long nowNanos) {
		if (this.paths.recordSuccess(sender, upstream, nowNanos)) {
			this.effects.accept(new PartitionChanged(sender, false));
		}
		if (this.unreachableUpstreams.contains(upstream)) {
			endEjectionIfUnfounded(upstream, nowNanos);
		}
	}

	// A failure to connect counts against the upstream if other instances agree. The
	// home gives a second opinion, unless it is partitioned itself.
	void recordUnreachable(String sender, UpstreamTracker tracker, long nowNanos) {
		String upstream = tracker.upstream().name();
		if (this.paths.recordFailure(sender, upstream, this.trackers.size(), nowNanos)) {
			this.effects.accept(new PartitionChanged(sender, true));
			// Instances that turn out to be partitioned may have ejected upstreams.
			List.copyOf(this.unreachableUpstreams).forEach((other) -> endEjectionIfUnfounded(other, nowNanos));
		}
		if (this.paths.isUnreachableForAll(upstream, nowNanos)) {
			this.unreachableUpstreams.add(upstream);
			recordFailure(tracker, AttemptResult.UNREACHABLE, sender, nowNanos);
		}
		else if (!sender.equals(UpstreamPaths.HOME) && !this.paths.isPartitioned(sender, nowNanos)
				&& !this.paths.isPartitioned(UpstreamPaths.HOME, nowNanos) && mayAskSecondOpinion(upstream, nowNanos)) {
			this.effects.accept(new ConnectionProbe(tracker.upstream()));
		}
	}

	// Instances that turn out to be partitioned may have ejected upstreams.
	void recordReport(String origin, boolean partitioned, long nowNanos) {
		if (this.paths.recordReport(origin, partitioned, nowNanos)) {
			this.effects.accept(new PartitionChanged(origin, partitioned));
			List.copyOf(this.unreachableUpstreams).forEach((upstream) -> endEjectionIfUnfounded(upstream, nowNanos));
		}
	}

	private boolean mayAskSecondOpinion(String upstream, long nowNanos) {
		Long askedNanos = this.secondOpinionNanos.get(upstream);
		if (askedNanos != null && nowNanos - askedNanos < SECOND_OPINION_INTERVAL_NANOS) {
			return false;
		}
		this.secondOpinionNanos.put(upstream, nowNanos);
		return true;
	}

	private void endEjectionIfUnfounded(String upstream, long nowNanos) {
		UpstreamTracker tracker = this.trackers.get(upstream);
		if (tracker != null && !this.paths.isUnreachableForAll(upstream, nowNanos)) {
			tracker.endEjection();
			this.unreachableUpstreams.remove(upstream);
		}
	}

	void recordFailure(UpstreamTracker tracker, AttemptResult result, String origin, long nowNanos) {
		boolean ejectedBefore = tracker.isEjected(nowNanos);
		tracker.recordFailure(result, nowNanos, ejectionRule(nowNanos));
		if (!ejectedBefore && tracker.isEjected(nowNanos)) {
			this.effects.accept(new UpstreamEjected(tracker.upstream().name(), result, origin));
		}
	}

	// When many upstreams fail a part of their requests, the others could
	// not carry the whole load, so the failing ones stay in use and requests
	// are retried instead.
	private EjectionRule ejectionRule(long nowNanos) {
		long accepting = this.trackers.values().stream().filter(UpstreamTracker::acceptsRequests).count();
		long ejected = this.trackers.values().stream().filter((tracker) -> tracker.isEjected(nowNanos)).count();
		boolean allowed = (ejected + 1) <= accepting * MAXIMUM_EJECTED_SHARE;
		return new EjectionRule(this.rule.get().ejectionFailureThreshold(), allowed || accepting == 1,
				this.rule.get().probesPerSecond() > 0);
	}

}
