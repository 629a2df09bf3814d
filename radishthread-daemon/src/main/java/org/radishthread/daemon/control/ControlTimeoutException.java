package org.radishthread.daemon.control;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when the control group does not respond within the timeout. It is unknown then
 * whether the request took effect.
 */
public class ControlTimeoutException extends RadishthreadException {

	public ControlTimeoutException() {
		super("The control group gave no answer in time.");
	}

}
