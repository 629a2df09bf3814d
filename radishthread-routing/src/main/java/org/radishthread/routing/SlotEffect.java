package org.radishthread.routing;

import org.radishthread.protocol.SlotMessage;

/**
 * What a {@link SlotRequester} wants done.
 */
public sealed interface SlotEffect {

	/**
	 * A message is to be sent.
	 *
	 * @param homeAddress the peer address of the home
	 * @param message the message
	 */
	record Send(String homeAddress, SlotMessage message) implements SlotEffect {
	}

	/**
	 * The home has decided.
	 *
	 * @param routingEffect a dispatch or a refusal
	 */
	record Decision(RoutingEffect routingEffect) implements SlotEffect {
	}

	/**
	 * The home does not answer, or does not route for the service; the request was not
	 * sent anywhere.
	 *
	 * @param request the request
	 * @param service the name of the service
	 * @param homeAddress the peer address of the home
	 */
	record HomeUnavailable(RoutingRequest request, String service, String homeAddress) implements SlotEffect {
	}

}
