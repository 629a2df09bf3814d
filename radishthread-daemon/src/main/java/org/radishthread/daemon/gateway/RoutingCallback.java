package org.radishthread.daemon.gateway;

import org.radishthread.routing.RoutingEffect;

/**
 * Carries out what the router decides about one request.
 */
interface RoutingCallback {

	/**
	 * Sends the request to an upstream.
	 * @param dispatch the decision
	 */
	void dispatch(RoutingEffect.Dispatch dispatch);

	/**
	 * Answers that the request is not sent, or not sent again.
	 * @param refusal the decision
	 */
	void refuse(RoutingEffect.Refusal refusal);

}
