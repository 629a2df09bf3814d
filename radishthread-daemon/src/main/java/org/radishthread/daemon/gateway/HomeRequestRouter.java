package org.radishthread.daemon.gateway;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.HomeDirectory.HomeCandidate;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.UpstreamPool;

/**
 * Router of one request, which asks the home of a pool of upstreams for slots. The
 * request is routed by this instance itself if it is the home, or if the home and the
 * next one are unavailable.
 */
final class HomeRequestRouter implements RequestRouter {

	private final String service;

	private final SlotService slots;

	// Selected when the request is admitted; its slots come from this pool from then on.
	private volatile UpstreamPool pool;

	HomeRequestRouter(String service, SlotService slots) {
		this.service = service;
		this.slots = slots;
		this.pool = UpstreamPool.whole(service);
	}

	private LocalRequestRouter localRouter() {
		return this.slots.localRouter(this.pool);
	}

	@Override
	public void admit(RoutingRequest request, RoutingCallback callback) {
		UpstreamPool selectedPool = this.slots.selectPool(this.service, request.digest());
		this.pool = selectedPool;
		HomeCandidate home = this.slots.homes().selectHome(selectedPool).orElse(null);
		if (home == null) {
			this.slots.admitWithoutHome(request, selectedPool, callback);
			return;
		}
		RoutingRequest routedRequest = home.substitute() ? request.substitute() : request;
		if (home.local()) {
			localRouter().admit(routedRequest, callback);
			return;
		}
		this.slots.admit(routedRequest, selectedPool, home.peerAddress(), callback);
	}

	@Override
	public void completeAttempt(long requestId, String upstream, AttemptResult result,
			@Nullable LoadReport loadReport) {
		if (!this.slots.completeAttempt(requestId, upstream, result, loadReport)) {
			localRouter().completeAttempt(requestId, upstream, result, loadReport);
		}
	}

	@Override
	public void retry(long requestId) {
		if (!this.slots.retry(requestId)) {
			localRouter().retry(requestId);
		}
	}

	@Override
	public void hedge(long requestId) {
		if (!this.slots.hedge(requestId)) {
			localRouter().hedge(requestId);
		}
	}

	@Override
	public void close(long requestId) {
		if (!this.slots.close(requestId)) {
			localRouter().close(requestId);
		}
	}

}
