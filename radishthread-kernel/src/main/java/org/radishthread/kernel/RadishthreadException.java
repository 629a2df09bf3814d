package org.radishthread.kernel;

import org.jspecify.annotations.Nullable;

/**
 * Root of the project's unchecked exceptions.
 */
public abstract class RadishthreadException extends RuntimeException {

	protected RadishthreadException(String message) {
		super(message);
	}

	protected RadishthreadException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
