package org.radishthread.client;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.RadishthreadException;

/**
 * Signals that a request of an operator can not be made.
 */
class ClientException extends RadishthreadException {

	ClientException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
