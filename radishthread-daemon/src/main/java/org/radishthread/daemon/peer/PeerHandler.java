package org.radishthread.daemon.peer;

import org.radishthread.protocol.Envelope;

/**
 * Takes messages of other instances.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Takes a message. It is called on a thread of the transport and must not block.
	 * @param senderName the name of the instance that sent it
	 * @param senderAddress the peer address of that instance
	 * @param envelope the message
	 */
	void receive(String senderName, String senderAddress, Envelope envelope);

}
