package org.radishthread.membership;

import org.radishthread.protocol.Envelope;

/**
 * A message to send to a peer. The protocol tolerates its loss, delay and duplication.
 *
 * @param address the peer address of the recipient
 * @param envelope the message
 */
public record OutgoingMessage(String address, Envelope envelope) {
}
