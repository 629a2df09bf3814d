package org.radishthread.routing;

import org.radishthread.protocol.SlotMessage;

/**
 * What a {@link SlotRequester} wants done.
 */
public sealed interface SlotEffect {

	/**
	 * A message is to be sent.
	 *
	 * @param address the peer address of the home
	 * @param message the message
	 */
	record Send(String address, SlotMessage message) implements SlotEffect {
	}

	/**
	 * The home has decided.
	 *
	 * @param decision a dispatch or a refusal
	 */
	record Decided(RoutingEffect decision) implements SlotEffect {
	}

	/**
	 * The home does not answer, or does not route for the service; the request was not
	 * sent anywhere.
	 *
	 * @param ticket the request
	 * @param service the name of the service
	 * @param home the peer address of the home
	 */
	record HomeSilent(Ticket ticket, String service, String home) implements SlotEffect {
	}

}
