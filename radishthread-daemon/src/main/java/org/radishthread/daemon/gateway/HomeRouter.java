package org.radishthread.daemon.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.HomeDirectory.Home;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;

/**
 * Asks the home of a service for slots, or decides here if this instance is the home or
 * no home answers.
 */
final class HomeRouter implements RequestRouter {

	private final String service;

	private final SlotService slots;

	HomeRouter(String service, SlotService slots) {
		this.service = service;
		this.slots = slots;
	}

	private RequestRouter local() {
		return this.slots.localRouter(this.service);
	}

	@Override
	public void admit(RoutingRequest ticket, RoutingCallback callback) {
		List<Home> homes = this.slots.homes().homesOf(this.service);
		if (homes.isEmpty() || homes.get(0).own()) {
			local().admit(ticket, callback);
			return;
		}
		this.slots.admit(ticket, this.service, homes.get(0).address(), callback);
	}

	@Override
	public void attemptEnded(long ticket, String upstream, AttemptResult result, @Nullable LoadReport load) {
		if (!this.slots.attemptEnded(ticket, upstream, result, load)) {
			local().attemptEnded(ticket, upstream, result, load);
		}
	}

	@Override
	public void retry(long ticket) {
		if (!this.slots.retry(ticket)) {
			local().retry(ticket);
		}
	}

	@Override
	public void hedge(long ticket) {
		if (!this.slots.hedge(ticket)) {
			local().hedge(ticket);
		}
	}

	@Override
	public void close(long ticket) {
		if (!this.slots.close(ticket)) {
			local().close(ticket);
		}
	}

}
