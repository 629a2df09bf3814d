package org.radishthread.daemon.peer;

import org.radishthread.protocol.Envelope;

/**
 * Handles messages from other instances.
 */
@FunctionalInterface
public interface PeerMessageHandler {

	/**
	 * Handles a message. Called on a thread of the transport, or on the sender's thread
	 * for a message of this instance to itself; must not block.
	 * @param senderName the name of the instance that sent it
	 * @param senderAddress the peer address of that instance
	 * @param envelope the message
	 */
	void receive(String senderName, String senderAddress, Envelope envelope);

}
