package org.radishthread.daemon.control;

import org.radishthread.kernel.RadishthreadException;

/**
 * Signals that the control group gave no answer in time, so that it is unknown whether
 * the request took effect.
 */
public class ControlTimeoutException extends RadishthreadException {

	public ControlTimeoutException() {
		super("The control group gave no answer in time.");
	}

}
