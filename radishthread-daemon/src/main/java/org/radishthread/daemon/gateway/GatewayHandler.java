package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.EventLog;
import org.radishthread.membership.ServingState;
import org.radishthread.routing.RetryAfter;
import org.radishthread.rules.KeyDecision;
import org.radishthread.rules.KeyOutcome;
import org.radishthread.rules.RouteRule;

/**
 * Jetty handler that starts an exchange for each request that matches a rule, and refuses
 * other requests itself.
 */
final class GatewayHandler extends Handler.Abstract.NonBlocking {

	private static final EventLog eventLog = EventLog.of(GatewayHandler.class);

	// Short, because other instances can serve the retry at once.
	static final long STOPPING_RETRY_AFTER_MILLIS = 100;

	// About the time until a starting instance has received rules and upstreams.
	private static final long STARTING_RETRY_AFTER_MILLIS = 500;

	private static final long BACKLOG_CHECK_INTERVAL_MILLIS = 20;

	private final GatewayContext context;

	private final ClusterService cluster;

	private final AtomicInteger openRequests = new AtomicInteger();

	private final StartupBacklog<ArrivedRequest> startupBacklog;

	private volatile boolean refusingRequests;

	// Whether this instance has accepted requests since its process started.
	private volatile boolean startupCompleted;

	GatewayHandler(GatewayContext context, ClusterService cluster) {
		this.context = context;
		this.cluster = cluster;
		this.startupBacklog = new StartupBacklog<>(context.settings().limits().startingRequests());
	}

	// Called on shutdown, when a new request could no longer be completed in time.
	void refuseNewRequests() {
		this.refusingRequests = true;
	}

	int openRequestCount() {
		return this.openRequests.get();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		this.openRequests.incrementAndGet();
		Callback countingCallback = Callback.from(callback, this.openRequests::decrementAndGet);
		ArrivedRequest arrived = new ArrivedRequest(request, response, countingCallback,
				this.context.time().monotonicNanos());
		ServingState state = this.cluster.servingState();
		this.startupCompleted |= state == ServingState.READY;
		if (state != ServingState.READY) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		if (this.refusingRequests || (state != ServingState.READY && state != ServingState.STOPPING)) {
			if (this.refusingRequests || this.startupCompleted || !tryHold(arrived)) {
				refuse(arrived, state);
			}
			return true;
		}
		route(arrived);
		return true;
	}

	private boolean tryHold(ArrivedRequest arrived) {
		synchronized (this.startupBacklog) {
			boolean checkScheduled = !this.startupBacklog.isEmpty();
			OptionalLong remainingMillis = CallerTimeout.remainingMillis(this.context.dialect(),
					arrived.request().getHeaders());
			if (!this.startupBacklog.tryHold(arrived, remainingMillis, this.context.time().monotonicMillis())) {
				return false;
			}
			if (!checkScheduled) {
				scheduleBacklogCheck();
			}
			return true;
		}
	}

	private void scheduleBacklogCheck() {
		this.context.scheduler().schedule(this::checkBacklog, BACKLOG_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void checkBacklog() {
		ServingState state = this.cluster.servingState();
		this.startupCompleted |= state == ServingState.READY;
		boolean ready = state == ServingState.READY && !this.refusingRequests;
		List<ArrivedRequest> released;
		synchronized (this.startupBacklog) {
			boolean releaseAll = ready || this.refusingRequests || state == ServingState.STOPPING;
			released = releaseAll ? this.startupBacklog.takeAll()
					: this.startupBacklog.takeExpired(this.context.time().monotonicMillis());
			if (!this.startupBacklog.isEmpty()) {
				scheduleBacklogCheck();
			}
		}
		if (!released.isEmpty()) {
			eventLog.information("startup-backlog-released")
				.with("requests", released.size())
				.with("served", ready)
				.with("state", state.wireName())
				.write();
		}
		released.forEach((arrived) -> release(arrived, ready, state));
	}

	// A failure must not keep the other requests from being released.
	private void release(ArrivedRequest arrived, boolean ready, ServingState state) {
		try {
			if (ready) {
				route(arrived);
			}
			else {
				refuse(arrived, state);
			}
		}
		catch (RuntimeException ex) {
			eventLog.failure("request-release-failed", ex).with("request", requestId(arrived.request())).write();
			arrived.callback().failed(ex);
		}
	}

	private void refuse(ArrivedRequest arrived, ServingState state) {
		long retryAfterMillis = retryAfterMillis(arrived,
				this.refusingRequests ? STOPPING_RETRY_AFTER_MILLIS : STARTING_RETRY_AFTER_MILLIS);
		refuse(arrived, Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503,
				"This instance takes no new work: " + state.wireName() + ".", retryAfterMillis));
	}

	private void route(ArrivedRequest arrived) {
		Request request = arrived.request();
		// Determined before the route, because rules may be applied in between.
		boolean hasAllRulesInForce = this.cluster.hasAllRulesInForce();
		Optional<RouteRule> route = this.context.routing()
			.findRoute(host(request), request.getMethod(), request.getHttpURI().getPath());
		if (route.isEmpty() && !hasAllRulesInForce) {
			refuse(arrived, Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503, "The newest rules may not be known yet.",
					retryAfterMillis(arrived, STARTING_RETRY_AFTER_MILLIS)));
			return;
		}
		if (route.isEmpty()) {
			refuse(arrived, Problem.notRun(HttpStatus.NOT_FOUND_404, "No rule matches this request.", 0));
			return;
		}
		KeyDecision keyDecision = this.context.keys()
			.check(route.get(), request.getHeaders(), requestId(request), CallerKeys.Stage.ARRIVAL);
		if (keyDecision.outcome().isRefusal()) {
			refuse(arrived, toProblem(arrived, keyDecision.outcome()));
			return;
		}
		new RoutedExchange(this.context, route.get(), keyDecision, arrived).start();
	}

	private Problem toProblem(ArrivedRequest arrived, KeyOutcome outcome) {
		long retryAfterMillis = outcome.isTemporary() ? retryAfterMillis(arrived, CallerKeys.RETRY_AFTER_MILLIS) : 0;
		return Problem.notRun(outcome.httpStatus(), outcome.title(), retryAfterMillis);
	}

	private @Nullable String requestId(Request request) {
		return this.context.dialect().requestId(request.getHeaders(), "unnamed");
	}

	private long retryAfterMillis(ArrivedRequest arrived, long earliestMillis) {
		long elapsedMillis = TimeUnit.NANOSECONDS
			.toMillis(this.context.time().monotonicNanos() - arrived.arrivedNanos());
		long statedMillis = CallerTimeout.remainingMillis(this.context.dialect(), arrived.request().getHeaders())
			.orElse(Long.MAX_VALUE);
		long remainingMillis = Math.max(0, statedMillis - elapsedMillis);
		return RetryAfter.delayMillis(earliestMillis, remainingMillis, this.context.nextRequestNumber());
	}

	private static String host(Request request) {
		String host = request.getHttpURI().getHost();
		return (host != null) ? host : "";
	}

	private void refuse(ArrivedRequest arrived, Problem problem) {
		eventLog.information("request-refused")
			.with("request", requestId(arrived.request()))
			.with("status", problem.status())
			.with("title", problem.title())
			.with("revision", this.context.routing().revision())
			.with("rules-age-millis", this.cluster.rulesAgeMillis())
			.with("retry-after-millis", problem.retryAfterMillis())
			.write();
		problem.write(this.context.dialect(), arrived.response(), arrived.callback());
	}

}
