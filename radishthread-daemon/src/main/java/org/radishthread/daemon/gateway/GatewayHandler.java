package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.gateway.HomeDirectory.Home;
import org.radishthread.daemon.settings.Secrets;
import org.radishthread.membership.ServingState;
import org.radishthread.rules.RouteRule;

/**
 * Starts an exchange for each request that a rule matches, here or at the home of its
 * service.
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
		boolean forwarded = isForwarded(request);
		ServingState state = this.cluster.servingState();
		if (state != ServingState.READY) {
			response.getHeaders().put(HttpHeader.CONNECTION, "close");
		}
		if (state != ServingState.READY && (state != ServingState.STOPPING || forwarded)) {
			int status = forwarded ? HttpStatus.MISDIRECTED_REQUEST_421 : HttpStatus.SERVICE_UNAVAILABLE_503;
			Problem.notRun(status, "This instance takes no new work: " + state.word() + ".", RETRY_AFTER_MILLIS)
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
		exchange(route.get(), forwarded, request, response, counted).start();
		return true;
	}

	private boolean isForwarded(Request request) {
		String token = request.getHeaders().get(RadishthreadHeader.FORWARDED);
		return token != null && Secrets.matches(this.context.settings().secrets().peer(), token);
	}

	// Uploads are routed where they arrive, so that a large body travels once.
	private AbstractExchange exchange(RouteRule route, boolean forwarded, Request request, Response response,
			Callback callback) {
		if (!forwarded && !route.mode().isStreamed()) {
			List<Home> homes = this.context.homes().homesOf(route.service());
			if (!homes.isEmpty() && !homes.get(0).own()) {
				return new ForwardedExchange(this.context, route, homes, request, response, callback);
			}
		}
		return new LocalExchange(this.context, route, request, response, callback);
	}

}
