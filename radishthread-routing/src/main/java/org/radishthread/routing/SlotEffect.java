package org.radishthread.routing;

import java.util.Set;

import org.radishthread.protocol.SlotMessage;

/**
 * An action that a {@link SlotRequester} has decided on and that its user carries out.
 */
public sealed interface SlotEffect {

	/**
	 * Sends a message to the home of a service.
	 *
	 * @param homeAddress the peer address of the home
	 * @param message the message
	 */
	record Send(String homeAddress, SlotMessage message) implements SlotEffect {
	}

	/**
	 * Carries out the decision of the home on a request.
	 *
	 * @param routingEffect a dispatch or a refusal
	 */
	record Decision(RoutingEffect routingEffect) implements SlotEffect {
	}

	/**
	 * Asks another instance for a slot, or routes the request on this instance, because
	 * the home does not respond or does not route for the service. The request has not
	 * been sent to any upstream.
	 *
	 * @param request the request
	 * @param service the key of the pool of upstreams that was asked for
	 * @param homeAddress the peer address of the home
	 * @param askedHomes the peer addresses of all homes that were asked for this request
	 */
	record HomeUnavailable(RoutingRequest request, String service, String homeAddress,
			Set<String> askedHomes) implements SlotEffect {
	}

}
