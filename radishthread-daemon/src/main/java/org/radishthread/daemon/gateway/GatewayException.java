package org.radishthread.daemon.gateway;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.RadishthreadException;

/**
 * Signals that the path between callers and upstreams can not be set up or used.
 */
public class GatewayException extends RadishthreadException {

	public GatewayException(String message) {
		super(message);
	}

	public GatewayException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
