package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.ServiceRouter;
import org.radishthread.routing.Ticket;
import org.radishthread.routing.Upstream;
import org.radishthread.rules.ServiceRule;

/**
 * Lets many threads use one {@link ServiceRouter}, logs its decisions and hands them to
 * the requests concerned, outside the lock.
 */
final class GuardedRouter {

	private static final EventLog eventLog = EventLog.of(GuardedRouter.class);

	private final String service;

	private final ServiceRouter router;

	private final TimeSource time;

	private final Map<Long, RoutingCallback> callbacks = new ConcurrentHashMap<>();

	GuardedRouter(ServiceRule rule, String zone, TimeSource time) {
		this.service = rule.service();
		this.router = new ServiceRouter(rule, zone);
		this.time = time;
	}

	private void perform(Function<Long, List<RoutingEffect>> decision) {
		List<RoutingEffect> effects;
		synchronized (this.router) {
			effects = decision.apply(this.time.monotonicNanos());
		}
		effects.forEach(this::perform);
	}

	private void perform(RoutingEffect effect) {
		RoutingCallback callback = this.callbacks.get(effect.ticket());
		if (effect instanceof RoutingEffect.Dispatch dispatch) {
			eventLog.information("dispatch")
				.with("service", this.service)
				.with("request", dispatch.ticket())
				.with("upstream", dispatch.upstream().name())
				.with("kind", dispatch.kind().word())
				.with("in-flight", dispatch.inFlight())
				.with("waited-micros", dispatch.waitedNanos() / 1_000)
				.write();
			if (callback != null) {
				callback.dispatch(dispatch);
			}
			else {
				attemptEnded(dispatch.ticket(), dispatch.upstream().name(), AttemptResult.CANCELLED);
			}
		}
		else if (effect instanceof RoutingEffect.Refusal refusal) {
			eventLog.information("refusal")
				.with("service", this.service)
				.with("request", refusal.ticket())
				.with("reason", refusal.reason().word())
				.with("retry-after-millis", refusal.retryAfterMillis())
				.write();
			if (callback != null) {
				callback.refuse(refusal);
			}
		}
	}

	void updateRule(ServiceRule rule) {
		synchronized (this.router) {
			this.router.updateRule(rule);
		}
	}

	void updateUpstreams(List<Upstream> upstreams) {
		perform((now) -> this.router.updateUpstreams(upstreams, now));
	}

	void admit(Ticket ticket, RoutingCallback callback) {
		this.callbacks.put(ticket.id(), callback);
		perform((now) -> this.router.admit(ticket, now));
	}

	void attemptEnded(long ticket, String upstream, AttemptResult result) {
		perform((now) -> this.router.attemptEnded(ticket, upstream, result, now));
	}

	void retry(long ticket) {
		perform((now) -> this.router.retry(ticket, now));
	}

	void hedge(long ticket) {
		perform((now) -> this.router.hedge(ticket, now));
	}

	void close(long ticket) {
		this.callbacks.remove(ticket);
		synchronized (this.router) {
			this.router.close(ticket);
		}
	}

	void tick() {
		perform(this.router::tick);
	}

	int queued() {
		synchronized (this.router) {
			return this.router.queued();
		}
	}

}
