package org.radishthread.daemon.gateway;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.membership.ServingState;
import org.radishthread.rules.RouteRule;

/**
 * Starts an {@link Exchange} for each request that a rule matches.
 */
final class GatewayHandler extends Handler.Abstract.NonBlocking {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final GatewayContext context;

	private final ClusterService cluster;

	private final AtomicInteger open = new AtomicInteger();

	GatewayHandler(GatewayContext context, ClusterService cluster) {
		this.context = context;
		this.cluster = cluster;
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
		if (state != ServingState.READY && state != ServingState.STOPPING) {
			Problem.notRun(503, "This instance takes no new work: " + state.word() + ".", RETRY_AFTER_MILLIS)
				.write(response, counted);
			return true;
		}
		Optional<RouteRule> route = this.context.routing()
			.rules()
			.match(request.getMethod(), request.getHttpURI().getCanonicalPath());
		if (route.isEmpty()) {
			Problem.notRun(404, "No rule matches this request.", 0).write(response, counted);
			return true;
		}
		new Exchange(this.context, route.get(), request, response, counted).start();
		return true;
	}

}
