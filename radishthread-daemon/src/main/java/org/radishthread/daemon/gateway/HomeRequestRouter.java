package org.radishthread.daemon.gateway;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.HomeDirectory.HomeCandidate;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;

/**
 * Router that asks the home of a service for slots. Requests are routed by this instance
 * itself if it is the home, or if the home is unavailable.
 */
final class HomeRequestRouter implements RequestRouter {

	private final String service;

	private final SlotService slots;

	HomeRequestRouter(String service, SlotService slots) {
		this.service = service;
		this.slots = slots;
	}

	private LocalRequestRouter localRouter() {
		return this.slots.localRouter(this.service);
	}

	@Override
	public void admit(RoutingRequest request, RoutingCallback callback) {
		HomeCandidate home = this.slots.homes().selectHome(this.service).orElse(null);
		if (home == null) {
			this.slots.admitWithoutHome(request, this.service, callback);
			return;
		}
		if (home.local()) {
			localRouter().admit(request, callback);
			return;
		}
		this.slots.admit(request, this.service, home.peerAddress(), callback);
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
