package org.radishthread.daemon.gateway;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when the gateway cannot be started or stopped. Also describes why an attempt
 * failed or was aborted.
 */
public class GatewayException extends RadishthreadException {

	public GatewayException(String message) {
		super(message);
	}

	public GatewayException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
