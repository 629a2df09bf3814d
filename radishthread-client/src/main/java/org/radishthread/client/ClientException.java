package org.radishthread.client;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when a file cannot be read, or when a request cannot be sent or gets no valid
 * response.
 */
class ClientException extends RadishthreadException {

	ClientException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
