package org.radishthread.kernel;

import org.jspecify.annotations.Nullable;

/**
 * Base class of the unchecked exceptions of this project.
 */
public abstract class RadishthreadException extends RuntimeException {

	protected RadishthreadException(String message) {
		super(message);
	}

	protected RadishthreadException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
