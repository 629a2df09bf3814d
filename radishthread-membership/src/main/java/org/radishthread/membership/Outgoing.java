package org.radishthread.membership;

import org.radishthread.protocol.Envelope;

/**
 * A message to be sent to a peer; it may be lost, late or doubled.
 *
 * @param address the peer address
 * @param envelope the message
 */
public record Outgoing(String address, Envelope envelope) {
}
