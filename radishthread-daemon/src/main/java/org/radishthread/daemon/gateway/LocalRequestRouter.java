package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.TimeSource;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.ServiceLoad;
import org.radishthread.routing.ServiceRouter;
import org.radishthread.routing.Upstream;
import org.radishthread.routing.UpstreamPool;
import org.radishthread.rules.ServiceRule;

/**
 * Router for the requests of one service on this instance. It serializes access to a
 * {@link ServiceRouter}, calls its {@code tick} method while that is needed, and logs and
 * executes its decisions outside the lock. Safe for use by several threads.
 */
final class LocalRequestRouter implements RequestRouter {

	private static final EventLog eventLog = EventLog.of(LocalRequestRouter.class);

	private static final long TICK_INTERVAL_MILLIS = 10;

	private final String service;

	private final ServiceRouter router;

	private final AllotmentService allotments;

	private final CrashExchange crashExchange;

	private final TimeSource time;

	private final UpstreamProber prober;

	private final EventLoop eventLoop;

	private final AtomicBoolean tickScheduled = new AtomicBoolean();

	private final ServiceLoadLog loadLog;

	private final Map<Long, RoutingCallback> callbacks = new ConcurrentHashMap<>();

	private final EffectExecutor<RoutingEffect> effectExecutor = new EffectExecutor<>(eventLog, this::execute);

	LocalRequestRouter(UpstreamPool pool, ServiceRule rule, DaemonSettings settings, AllotmentService allotments,
			CrashExchange crashExchange, TimeSource time, UpstreamProber prober, EventLoop eventLoop) {
		this.service = pool.key();
		this.loadLog = new ServiceLoadLog(this.service);
		this.router = new ServiceRouter(rule, settings.routerSettings().dividedBy(pool.count()),
				crashExchange.history(), time.monotonicNanos());
		this.allotments = allotments;
		this.crashExchange = crashExchange;
		this.time = time;
		this.prober = prober;
		this.eventLoop = eventLoop;
	}

	private void process(Function<Long, List<RoutingEffect>> event) {
		List<RoutingEffect> effects;
		boolean needsTick;
		ServiceLoad load = null;
		synchronized (this.router) {
			long nowNanos = this.time.monotonicNanos();
			effects = event.apply(nowNanos);
			needsTick = this.router.needsTick();
			if (this.loadLog.tryAcquireLine(this.router.queuedRequests() > 0, nowNanos)) {
				load = this.router.load(nowNanos);
			}
		}
		if (load != null) {
			this.loadLog.write(load);
		}
		if (needsTick && this.tickScheduled.compareAndSet(false, true)) {
			this.eventLoop.schedule(TICK_INTERVAL_MILLIS, this::tick);
		}
		this.effectExecutor.execute(effects);
	}

	// Scheduled only while the router depends on time.
	private void tick() {
		this.tickScheduled.set(false);
		process(this.router::tick);
	}

	private void execute(RoutingEffect effect) {
		if (effect instanceof RoutingEffect.Dispatch dispatch) {
			executeDispatch(dispatch);
		}
		else if (effect instanceof RoutingEffect.Refusal refusal) {
			executeRefusal(refusal);
		}
		else if (effect instanceof RoutingEffect.ConnectionProbe probe) {
			probeReachability(probe.upstream());
		}
		else if (effect instanceof RoutingEffect.PartitionChanged change) {
			eventLog.information("partition-changed")
				.with("service", this.service)
				.with("origin", change.origin().isEmpty() ? "this instance" : change.origin())
				.with("partitioned", change.partitioned())
				.write();
		}
		else if (effect instanceof RoutingEffect.UpstreamEjected ejected) {
			eventLog.information("upstream-ejected")
				.with("service", this.service)
				.with("upstream", ejected.upstream())
				.with("result", ejected.result().logName())
				.with("origin", ejected.origin().isEmpty() ? "this instance" : ejected.origin())
				.write();
		}
		else if (effect instanceof RoutingEffect.ServiceEvacuated change) {
			logEvacuation(change.evacuated());
		}
		else if (effect instanceof RoutingEffect.UpstreamFull full) {
			eventLog.information("upstream-full")
				.with("service", this.service)
				.with("upstream", full.upstream())
				.with("back-off-millis", full.backOffMillis())
				.write();
		}
		else if (effect instanceof RoutingEffect.UpstreamCold cold) {
			eventLog.information("upstream-cold")
				.with("service", this.service)
				.with("upstream", cold.upstream())
				.with("remaining-millis", cold.remainingMillis())
				.with("per-second", cold.requestsPerSecond())
				.write();
		}
		else if (effect instanceof RoutingEffect.CrashFound found) {
			this.crashExchange.publish(found);
		}
		else if (effect instanceof RoutingEffect.CrashesCleared cleared) {
			this.crashExchange.publish(cleared);
		}
		else if (effect instanceof RoutingEffect.PaceProbe probe) {
			this.prober.probePace(probe.upstream(), probe.path())
				.thenAccept((report) -> process(
						(nowNanos) -> this.router.recordPaceProbe(probe.upstream().name(), report, nowNanos)));
		}
	}

	private void logEvacuation(boolean evacuated) {
		if (evacuated) {
			eventLog.warning("service-evacuated")
				.with("service", this.service)
				.with("cause", "operators evacuate the zones of all its upstreams")
				.with("requests", "refused until one is restored")
				.write();
		}
		else {
			eventLog.information("service-restored").with("service", this.service).write();
		}
	}

	private void executeDispatch(RoutingEffect.Dispatch dispatch) {
		this.loadLog.recordDispatch();
		eventLog.information("dispatch")
			.with("service", this.service)
			.with("request", dispatch.requestId())
			.with("upstream", dispatch.upstream().name())
			.with("kind", dispatch.kind().wireName())
			.with("in-flight", dispatch.inFlight())
			.with("pace-percent", dispatch.pacePercent())
			.with("waited-micros", dispatch.queueTimeNanos() / 1_000)
			.write();
		this.allotments.recordDispatch(dispatch.requestId());
		RoutingCallback callback = this.callbacks.get(dispatch.requestId());
		if (callback != null) {
			callback.onDispatch(dispatch);
		}
		else {
			completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.CANCELLED, null);
		}
	}

	private void executeRefusal(RoutingEffect.Refusal refusal) {
		this.loadLog.recordRefusal(refusal.reason());
		eventLog.information("refusal")
			.with("service", this.service)
			.with("request", refusal.requestId())
			.with("reason", refusal.reason().wireName())
			.with("retry-after-millis", refusal.retryAfterMillis())
			.write();
		RoutingCallback callback = this.callbacks.get(refusal.requestId());
		if (callback != null) {
			callback.onRefusal(refusal);
		}
	}

	private void probeReachability(Upstream upstream) {
		this.prober.probeReachability(upstream).thenAccept((reachable) -> {
			eventLog.information("probe")
				.with("service", this.service)
				.with("upstream", upstream.name())
				.with("reachable", reachable)
				.write();
			process((nowNanos) -> this.router.recordConnectionProbe(upstream.name(), reachable, nowNanos));
		});
	}

	void updateRule(ServiceRule rule) {
		synchronized (this.router) {
			this.router.updateRule(rule, this.time.monotonicNanos());
		}
	}

	void updateUpstreams(List<Upstream> upstreams, Set<String> evacuatedZones) {
		process((nowNanos) -> {
			List<RoutingEffect> effects = new ArrayList<>(this.router.updateEvacuatedZones(evacuatedZones, nowNanos));
			effects.addAll(this.router.updateUpstreams(upstreams, nowNanos));
			return effects;
		});
	}

	void updateEvacuatedZones(Set<String> zones) {
		process((nowNanos) -> this.router.updateEvacuatedZones(zones, nowNanos));
	}

	@Override
	public void admit(RoutingRequest request, RoutingCallback callback) {
		this.callbacks.put(request.id(), callback);
		this.allotments.acquire(request, () -> admitAllotted(request, true), this::executeRefusal);
	}

	// What an instance, or this one if the address is empty, tells of its connections to
	// the upstreams of the service.
	void recordReachability(String peerAddress, boolean partitioned) {
		process((nowNanos) -> this.router.recordReachability(peerAddress, partitioned, nowNanos));
	}

	// Routes a request whose home is unavailable. The other instances may relay it.
	void admitWithoutHome(RoutingRequest request, List<String> otherInstances, RoutingCallback callback) {
		synchronized (this.router) {
			this.router.updateInstances(otherInstances);
		}
		this.callbacks.put(request.id(), callback);
		this.allotments.acquire(request, () -> admitAllotted(request, false), this::executeRefusal);
	}

	private void admitAllotted(RoutingRequest request, boolean home) {
		process((nowNanos) -> this.router.admit(request, home, nowNanos));
		if (!this.callbacks.containsKey(request.id())) {
			// Closed while it waited for a token.
			synchronized (this.router) {
				this.router.close(request.id());
			}
		}
	}

	@Override
	public void completeAttempt(long requestId, String upstream, AttemptResult result,
			@Nullable LoadReport loadReport) {
		process((nowNanos) -> {
			if (!this.router.isInFlight(requestId, upstream)) {
				// The home of the request freed the slot when the request was closed.
				return List.of();
			}
			this.allotments.recordResult(requestId, result);
			return this.router.completeAttempt(requestId, upstream, result, loadReport, nowNanos);
		});
	}

	// Frees the slot of an attempt whose completion was not reported. It may have been
	// made.
	void releaseAttempt(long requestId, String upstream) {
		this.loadLog.recordUnreportedAttempt();
		this.allotments.recordResult(requestId, AttemptResult.CANCELLED);
		process((nowNanos) -> this.router.releaseAttempt(requestId, upstream, nowNanos));
	}

	@Override
	public void retry(long requestId) {
		process((nowNanos) -> this.router.retry(requestId, nowNanos));
	}

	@Override
	public void hedge(long requestId) {
		process((nowNanos) -> {
			List<RoutingEffect> effects = this.router.hedge(requestId, nowNanos);
			if (effects.isEmpty()) {
				eventLog.debug("hedge-refused").with("service", this.service).with("request", requestId).write();
			}
			return effects;
		});
	}

	// Records that the gateway of a request routes it by itself. The request is to be
	// closed next.
	void takeBack(long requestId) {
		synchronized (this.router) {
			this.router.takeBack(requestId);
		}
	}

	@Override
	public void close(long requestId) {
		this.callbacks.remove(requestId);
		synchronized (this.router) {
			this.router.close(requestId);
		}
		this.allotments.close(requestId);
	}

}
