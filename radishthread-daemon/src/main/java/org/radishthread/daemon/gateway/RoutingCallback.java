package org.radishthread.daemon.gateway;

import org.radishthread.routing.RoutingEffect;

/**
 * Receives the decisions of a {@link RequestRouter} about one request. Methods may be
 * called by different threads.
 */
interface RoutingCallback {

	/**
	 * Called when the request is to be sent to an upstream. May be called several times,
	 * for retries and hedges.
	 * @param dispatch the decision
	 */
	void onDispatch(RoutingEffect.Dispatch dispatch);

	/**
	 * Called when the request, or a retry of it, is refused.
	 * @param refusal the decision
	 */
	void onRefusal(RoutingEffect.Refusal refusal);

}
