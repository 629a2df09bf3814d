package org.radishthread.daemon.gateway;

import java.util.Optional;
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
	private static final long STOPPING_RETRY_AFTER_MILLIS = 100;

	// About the time until a starting instance has received rules and upstreams.
	private static final long STARTING_RETRY_AFTER_MILLIS = 500;

	private final GatewayContext context;

	private final ClusterService cluster;

	private final AtomicInteger openRequests = new AtomicInteger();

	private volatile boolean refusingRequests;

	GatewayHandler(GatewayContext context, ClusterService cluster) {
		this.context = context;
		this.cluster = cluster;
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
		ServingState state = this.cluster.servingState();
		if (state != ServingState.READY) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		if (this.refusingRequests || (state != ServingState.READY && state != ServingState.STOPPING)) {
			long retryAfterMillis = retryAfterMillis(request,
					this.refusingRequests ? STOPPING_RETRY_AFTER_MILLIS : STARTING_RETRY_AFTER_MILLIS);
			refuse(request,
					Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503,
							"This instance takes no new work: " + state.wireName() + ".", retryAfterMillis),
					response, countingCallback);
			return true;
		}
		// Determined before the route, because rules may be applied in between.
		boolean hasAllRulesInForce = this.cluster.hasAllRulesInForce();
		Optional<RouteRule> route = this.context.routing()
			.findRoute(host(request), request.getMethod(), request.getHttpURI().getPath());
		if (route.isEmpty() && !hasAllRulesInForce) {
			refuse(request, Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503, "The newest rules may not be known yet.",
					retryAfterMillis(request, STARTING_RETRY_AFTER_MILLIS)), response, countingCallback);
			return true;
		}
		if (route.isEmpty()) {
			refuse(request, Problem.notRun(HttpStatus.NOT_FOUND_404, "No rule matches this request.", 0), response,
					countingCallback);
			return true;
		}
		KeyDecision keyDecision = this.context.keys()
			.check(route.get(), request.getHeaders(), requestId(request), CallerKeys.Stage.ARRIVAL);
		if (keyDecision.outcome().isRefusal()) {
			refuse(request, toProblem(request, keyDecision.outcome()), response, countingCallback);
			return true;
		}
		new RoutedExchange(this.context, route.get(), keyDecision, request, response, countingCallback).start();
		return true;
	}

	private Problem toProblem(Request request, KeyOutcome outcome) {
		long retryAfterMillis = outcome.isTemporary() ? retryAfterMillis(request, CallerKeys.RETRY_AFTER_MILLIS) : 0;
		return Problem.notRun(outcome.httpStatus(), outcome.title(), retryAfterMillis);
	}

	private @Nullable String requestId(Request request) {
		return this.context.dialect().requestId(request.getHeaders(), "unnamed");
	}

	private long retryAfterMillis(Request request, long earliestMillis) {
		long remainingMillis = CallerTimeout.remainingMillis(this.context.dialect(), request.getHeaders())
			.orElse(Long.MAX_VALUE);
		return RetryAfter.delayMillis(earliestMillis, remainingMillis, this.context.nextRequestNumber());
	}

	private static String host(Request request) {
		String host = request.getHttpURI().getHost();
		return (host != null) ? host : "";
	}

	private void refuse(Request request, Problem problem, Response response, Callback callback) {
		eventLog.information("request-refused")
			.with("request", requestId(request))
			.with("status", problem.status())
			.with("title", problem.title())
			.with("revision", this.context.routing().revision())
			.with("rules-age-millis", this.cluster.rulesAgeMillis())
			.with("retry-after-millis", problem.retryAfterMillis())
			.write();
		problem.write(this.context.dialect(), response, callback);
	}

}
