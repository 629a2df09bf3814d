package org.radishthread.daemon.gateway;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.EventLog;
import org.radishthread.membership.ServingState;
import org.radishthread.routing.RetryAfter;
import org.radishthread.rules.RouteRule;

/**
 * Starts an exchange for each request that a rule matches.
 */
final class GatewayHandler extends Handler.Abstract.NonBlocking {

	private static final EventLog eventLog = EventLog.of(GatewayHandler.class);

	// Another instance takes the request at once, so that a short pause suffices.
	private static final long STOPPING_RETRY_AFTER_MILLIS = 100;

	// About the time in which an instance that starts learns what it needs.
	private static final long STARTING_RETRY_AFTER_MILLIS = 500;

	private final GatewayContext context;

	private final ClusterService cluster;

	private final AtomicInteger open = new AtomicInteger();

	private volatile boolean refusing;

	GatewayHandler(GatewayContext context, ClusterService cluster) {
		this.context = context;
		this.cluster = cluster;
	}

	// From now on a request could not be finished before this instance ends.
	void refuseNewRequests() {
		this.refusing = true;
	}

	int openRequests() {
		return this.open.get();
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		this.open.incrementAndGet();
		Callback counted = Callback.from(callback, this.open::decrementAndGet);
		ServingState state = this.cluster.servingState();
		if (state != ServingState.READY) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		if (this.refusing || (state != ServingState.READY && state != ServingState.STOPPING)) {
			long retryAfter = retryAfterMillis(request,
					this.refusing ? STOPPING_RETRY_AFTER_MILLIS : STARTING_RETRY_AFTER_MILLIS);
			refuse(request,
					Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503,
							"This instance takes no new work: " + state.wireName() + ".", retryAfter),
					response, counted);
			return true;
		}
		Optional<RouteRule> route = this.context.routing()
			.route(host(request), request.getMethod(), request.getHttpURI().getPath());
		if (route.isEmpty() && !this.context.routing().hasRules()) {
			refuse(request, Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503, "No rules are known yet.",
					retryAfterMillis(request, STARTING_RETRY_AFTER_MILLIS)), response, counted);
			return true;
		}
		if (route.isEmpty()) {
			refuse(request, Problem.notRun(HttpStatus.NOT_FOUND_404, "No rule matches this request.", 0), response,
					counted);
			return true;
		}
		new RoutedExchange(this.context, route.get(), request, response, counted).start();
		return true;
	}

	private long retryAfterMillis(Request request, long wantedMillis) {
		long remaining = CallerTime.remainingMillis(this.context.dialect(), request.getHeaders())
			.orElse(Long.MAX_VALUE);
		return RetryAfter.delayMillis(wantedMillis, remaining, this.context.nextTicket());
	}

	private static String host(Request request) {
		String host = request.getHttpURI().getHost();
		return (host != null) ? host : "";
	}

	private void refuse(Request request, Problem problem, Response response, Callback callback) {
		eventLog.information("refused-here")
			.with("request", this.context.dialect().requestId(request.getHeaders(), "unnamed"))
			.with("status", problem.status())
			.with("title", problem.title())
			.with("revision", this.context.routing().revision())
			.with("retry-after-millis", problem.retryAfterMillis())
			.write();
		problem.write(this.context.dialect(), response, callback);
	}

}
