package org.radishthread.daemon.http;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when the body of a request exceeds the size up to which it is read.
 */
public final class BodyTooLargeException extends RadishthreadException {

	/**
	 * Creates an exception.
	 * @param maximumBytes the size up to which the body is read, in bytes
	 */
	public BodyTooLargeException(int maximumBytes) {
		super("The body of the request exceeds " + maximumBytes + " bytes.");
	}

}
