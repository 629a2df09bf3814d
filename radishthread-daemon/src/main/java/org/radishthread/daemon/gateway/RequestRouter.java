package org.radishthread.daemon.gateway;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;

/**
 * Assigns upstreams to the requests of one service. Each attempt uses one slot, that is,
 * one unit of the capacity of an upstream. Decisions are passed to the
 * {@link RoutingCallback} of the request.
 */
interface RequestRouter {

	/**
	 * Requests a slot. The request is dispatched when a slot is free, or refused.
	 * @param request the request
	 * @param callback the receiver of the decisions about the request
	 */
	void admit(RoutingRequest request, RoutingCallback callback);

	/**
	 * Frees the slot of a completed attempt.
	 * @param requestId the id of the routing request
	 * @param upstream the name of the upstream
	 * @param result the outcome of the attempt
	 * @param loadReport the load that the upstream reported, or {@code null} for none
	 */
	void completeAttempt(long requestId, String upstream, AttemptResult result, @Nullable LoadReport loadReport);

	/**
	 * Requests another attempt for a request whose last attempt failed.
	 * @param requestId the id of the routing request
	 */
	void retry(long requestId);

	/**
	 * Requests a hedge, that is, a second attempt in parallel to a slow one.
	 * @param requestId the id of the routing request
	 */
	void hedge(long requestId);

	/**
	 * Removes a completed request.
	 * @param requestId the id of the routing request
	 */
	void close(long requestId);

}
