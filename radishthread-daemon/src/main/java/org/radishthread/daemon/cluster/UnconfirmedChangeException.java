package org.radishthread.daemon.cluster;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when a change cannot be confirmed, although it may take effect. The sender
 * should send it again, to this or another instance.
 */
public class UnconfirmedChangeException extends RadishthreadException {

	public UnconfirmedChangeException(String message) {
		super(message);
	}

}
