package org.radishthread.agreement;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.RadishthreadException;

/**
 * Thrown when a control replica cannot continue, for example after a failed write.
 */
public class AgreementException extends RadishthreadException {

	public AgreementException(String message) {
		super(message);
	}

	public AgreementException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
