package org.radishthread.daemon.gateway;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;

/**
 * Finds upstreams for the requests of one service.
 */
interface RequestRouter {

	/**
	 * Takes in a request; what becomes of it is told to the callback.
	 * @param ticket the request
	 * @param callback who carries out the decisions
	 */
	void admit(RoutingRequest ticket, RoutingCallback callback);

	/**
	 * Learns that an attempt ended, which frees its slot.
	 * @param ticket the request
	 * @param upstream the name of the upstream
	 * @param result how the attempt ended
	 * @param load what the upstream said of its load, if it did
	 */
	void attemptEnded(long ticket, String upstream, AttemptResult result, @Nullable LoadReport load);

	/**
	 * Asks for another attempt after one that failed and may be repeated.
	 * @param ticket the request
	 */
	void retry(long ticket);

	/**
	 * Asks for a second attempt beside a slow one.
	 * @param ticket the request
	 */
	void hedge(long ticket);

	/**
	 * Forgets a request whose caller has its answer or went away.
	 * @param ticket the request
	 */
	void close(long ticket);

}
