package org.radishthread.kernel;

import java.util.concurrent.CompletionException;

/**
 * Finds the failure of a {@link java.util.concurrent.CompletableFuture}, which its
 * dependent stages receive wrapped.
 */
public final class CompletionFailures {

	private CompletionFailures() {
	}

	/**
	 * Returns what a stage failed with.
	 * @param failure the failure that a dependent stage received, wrapped or not
	 * @return the failure without the wrapper
	 */
	public static Throwable unwrap(Throwable failure) {
		Throwable cause = failure.getCause();
		return (failure instanceof CompletionException && cause != null) ? cause : failure;
	}

}
