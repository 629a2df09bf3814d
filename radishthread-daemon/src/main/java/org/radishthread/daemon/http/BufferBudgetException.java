package org.radishthread.daemon.http;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when the bodies that are held at the same time leave no room for another one.
 */
public final class BufferBudgetException extends RadishthreadException {

	/**
	 * Creates an exception.
	 */
	public BufferBudgetException() {
		super("This instance holds too many bodies in memory.");
	}

}
