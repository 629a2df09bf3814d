package org.radishthread.daemon.cluster;

import org.radishthread.kernel.RadishthreadException;

/**
 * Signals that a change may take effect but can not be confirmed now, so that it should
 * be sent again, here or to another instance.
 */
public class UnconfirmedChangeException extends RadishthreadException {

	public UnconfirmedChangeException(String message) {
		super(message);
	}

}
