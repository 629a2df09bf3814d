package org.radishthread.routing;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.PaceProbe;
import org.radishthread.rules.PaceProbeRule;
import org.radishthread.rules.ServiceRule;

/**
 * Sends the probes of one service that are due: connection probes to ejected upstreams,
 * and pace probes to upstreams that have not reported their load for some time. Points in
 * time are monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class ProbeSchedule {

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	// The limit is above one, because a probe costs only a few thousandths of
	// what a late response costs.
	private static final double PACE_PROBES_PER_REQUEST = 8;

	private final RouterSettings settings;

	private final UpstreamPaths paths;

	// The upstreams of the service by name, shared with the router.
	private final Map<String, UpstreamTracker> trackers;

	private final Supplier<ServiceRule> rule;

	private final Consumer<RoutingEffect> effects;

	private ProbeBudget probeBudget;

	private final PaceProbeBudget paceProbeBudget;

	private final ArrivalEstimate arrivals = new ArrivalEstimate();

	private boolean receivingRequests;

	ProbeSchedule(RouterSettings settings, UpstreamPaths paths, Map<String, UpstreamTracker> trackers,
			Supplier<ServiceRule> rule, Consumer<RoutingEffect> effects, long nowNanos) {
		this.settings = settings;
		this.paths = paths;
		this.trackers = trackers;
		this.rule = rule;
		this.effects = effects;
		this.paceProbeBudget = new PaceProbeBudget(settings.paceProbesPerSecond());
		this.probeBudget = new ProbeBudget(rule.get().probesPerSecond(), settings.maximumInstances(), nowNanos);
	}

	// Called after the probe rate of the service has changed.
	void resetBudget(long nowNanos) {
		this.probeBudget = new ProbeBudget(this.rule.get().probesPerSecond(), this.settings.maximumInstances(),
				nowNanos);
	}

	void recordArrival(long nowNanos) {
		this.arrivals.recordArrival(nowNanos);
		this.receivingRequests = true;
	}

	// Whether pace probes must be sent at intervals.
	boolean isPaceProbing() {
		return this.receivingRequests && this.rule.get().paceProbeRule() != null;
	}

	void sendDueProbes(long nowNanos) {
		sendConnectionProbes(nowNanos);
		sendPaceProbes(nowNanos);
	}

	// The rate of probes is also limited in proportion to the rate of requests,
	// so that a service with few requests gets few probes.
	// A cold upstream is spared.
	private void sendPaceProbes(long nowNanos) {
		this.receivingRequests = !this.arrivals.isIdle(nowNanos);
		PaceProbeRule probeRule = this.rule.get().paceProbeRule();
		if (probeRule == null || !this.receivingRequests) {
			return;
		}
		double demandIntervalNanos = this.trackers.size() * this.arrivals.intervalNanos() / PACE_PROBES_PER_REQUEST;
		long intervalNanos = (long) Math.max(this.paceProbeBudget.intervalNanos(this.trackers.size()),
				Math.max(NANOS_PER_SECOND / probeRule.maximumProbesPerSecond(), demandIntervalNanos));
		for (UpstreamTracker tracker : this.trackers.values()) {
			if (tracker.acceptsRequests() && !tracker.isEjected(nowNanos) && !tracker.refuses("", nowNanos)
					&& !tracker.isCold(nowNanos) && tracker.isPaceProbeDue(intervalNanos, nowNanos)
					&& this.paceProbeBudget.tryAcquire(nowNanos)) {
				tracker.recordPaceProbeSent(nowNanos);
				this.effects.accept(new PaceProbe(tracker.upstream(), probeRule.path()));
			}
		}
	}

	private void sendConnectionProbes(long nowNanos) {
		for (UpstreamTracker tracker : this.trackers.values()) {
			if (tracker.isConnectionProbeDue(nowNanos) && this.paths.isPartitioned(UpstreamPaths.HOME, nowNanos)) {
				// The probe would fail on the path; a request of another instance tries
				// the upstream instead.
				tracker.recordConnectionProbe(true, nowNanos);
			}
			else if (tracker.isConnectionProbeDue(nowNanos) && this.probeBudget.tryAcquire(nowNanos)) {
				tracker.recordConnectionProbeSent(nowNanos);
				this.effects.accept(new ConnectionProbe(tracker.upstream()));
			}
		}
	}

}
