package org.radishthread.agreement;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.RadishthreadException;

/**
 * Signals that a control replica can not go on.
 */
public class AgreementException extends RadishthreadException {

	public AgreementException(String message) {
		super(message);
	}

	public AgreementException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
