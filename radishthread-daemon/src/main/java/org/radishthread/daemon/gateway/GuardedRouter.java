package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Map;
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
import org.radishthread.routing.ServiceRouter;
import org.radishthread.routing.Upstream;
import org.radishthread.rules.ServiceRule;

/**
 * Lets many threads use one {@link ServiceRouter}, logs its decisions and hands them to
 * the requests concerned, outside the lock.
 */
final class GuardedRouter implements RequestRouter {

	private static final EventLog eventLog = EventLog.of(GuardedRouter.class);

	private static final long TICK_MILLIS = 10;

	private final String service;

	private final ServiceRouter router;

	private final TimeSource time;

	private final UpstreamProber prober;

	private final EventLoop loop;

	private final AtomicBoolean ticking = new AtomicBoolean();

	private final Map<Long, RoutingCallback> callbacks = new ConcurrentHashMap<>();

	GuardedRouter(ServiceRule rule, DaemonSettings settings, TimeSource time, UpstreamProber prober, EventLoop loop) {
		this.service = rule.service();
		this.router = new ServiceRouter(rule, settings.zone(), settings.limits().maximumInstances(),
				time.monotonicNanos());
		this.time = time;
		this.prober = prober;
		this.loop = loop;
	}

	private void perform(Function<Long, List<RoutingEffect>> decision) {
		List<RoutingEffect> effects;
		boolean needsTick;
		synchronized (this.router) {
			effects = decision.apply(this.time.monotonicNanos());
			needsTick = this.router.needsTick();
		}
		if (needsTick && this.ticking.compareAndSet(false, true)) {
			this.loop.schedule(TICK_MILLIS, this::tick);
		}
		effects.forEach(this::perform);
	}

	// Runs only while something waits for time to pass.
	private void tick() {
		this.ticking.set(false);
		perform(this.router::tick);
	}

	private void perform(RoutingEffect effect) {
		if (effect instanceof RoutingEffect.Dispatch dispatch) {
			dispatch(dispatch);
		}
		else if (effect instanceof RoutingEffect.Refusal refusal) {
			refuse(refusal);
		}
		else if (effect instanceof RoutingEffect.ConnectionProbe probe) {
			probe(probe.upstream());
		}
		else if (effect instanceof RoutingEffect.PaceProbe probe) {
			this.prober.askPace(probe.upstream(), probe.path())
				.thenAccept((report) -> perform(
						(now) -> this.router.recordPaceProbe(probe.upstream().name(), report, now)));
		}
	}

	private void dispatch(RoutingEffect.Dispatch dispatch) {
		eventLog.information("dispatch")
			.with("service", this.service)
			.with("request", dispatch.requestId())
			.with("upstream", dispatch.upstream().name())
			.with("kind", dispatch.kind().wireName())
			.with("in-flight", dispatch.inFlight())
			.with("waited-micros", dispatch.queueTimeNanos() / 1_000)
			.write();
		RoutingCallback callback = this.callbacks.get(dispatch.requestId());
		if (callback != null) {
			callback.dispatch(dispatch);
		}
		else {
			attemptEnded(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.CANCELLED, null);
		}
	}

	private void refuse(RoutingEffect.Refusal refusal) {
		eventLog.information("refusal")
			.with("service", this.service)
			.with("request", refusal.requestId())
			.with("reason", refusal.reason().wireName())
			.with("retry-after-millis", refusal.retryAfterMillis())
			.write();
		RoutingCallback callback = this.callbacks.get(refusal.requestId());
		if (callback != null) {
			callback.refuse(refusal);
		}
	}

	private void probe(Upstream upstream) {
		this.prober.probe(upstream).thenAccept((reachable) -> {
			eventLog.information("probe")
				.with("service", this.service)
				.with("upstream", upstream.name())
				.with("reachable", reachable)
				.write();
			perform((now) -> this.router.recordConnectionProbe(upstream.name(), reachable, now));
		});
	}

	void updateRule(ServiceRule rule) {
		synchronized (this.router) {
			this.router.updateRule(rule, this.time.monotonicNanos());
		}
	}

	void updateUpstreams(List<Upstream> upstreams) {
		perform((now) -> this.router.updateUpstreams(upstreams, now));
	}

	@Override
	public void admit(RoutingRequest ticket, RoutingCallback callback) {
		this.callbacks.put(ticket.id(), callback);
		perform((now) -> this.router.admit(ticket, now));
	}

	@Override
	public void attemptEnded(long ticket, String upstream, AttemptResult result, @Nullable LoadReport load) {
		perform((now) -> this.router.completeAttempt(ticket, upstream, result, load, now));
	}

	@Override
	public void retry(long ticket) {
		perform((now) -> this.router.retry(ticket, now));
	}

	@Override
	public void hedge(long ticket) {
		perform((now) -> {
			List<RoutingEffect> effects = this.router.hedge(ticket, now);
			if (effects.isEmpty()) {
				eventLog.debug("hedge-refused").with("service", this.service).with("request", ticket).write();
			}
			return effects;
		});
	}

	@Override
	public void close(long ticket) {
		this.callbacks.remove(ticket);
		synchronized (this.router) {
			this.router.close(ticket);
		}
	}

}
