package org.radishthread.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request and the decision that completes it. The end of an attempt
 * is recorded together with what it says of the request, and the request is completed
 * together with the statement whether it ran, so that a request counts as not run only if
 * no attempt may have run it, none is in progress, and none can begin any more.
 * <p>
 * Each method is one step. Safe for use by several threads; a step that needs more than
 * one method can be made while holding the monitor of this object.
 *
 * @param <A> the type of an attempt
 */
final class ExchangeState<A> {

	// Whether the request may be run by several attempts.
	private final boolean mayRepeat;

	private final Set<A> attemptsInProgress = new HashSet<>();

	// Attempts whose end the router does not know yet.
	private final Set<A> unreportedAttempts = new HashSet<>();

	private int begunAttempts;

	private @Nullable A selectedAttempt;

	private boolean mayHaveRun;

	private boolean completed;

	private boolean closed;

	/**
	 * Creates the state of a request without attempts.
	 * @param mayRepeat whether the request may run more than once
	 */
	ExchangeState(boolean mayRepeat) {
		this.mayRepeat = mayRepeat;
	}

	/**
	 * Begins an attempt, unless the request is completed, its response is selected, or it
	 * must run once and another attempt may run it.
	 * @param attempt the attempt
	 * @return whether the attempt may be sent; it counts as in progress from now on
	 */
	synchronized boolean tryBegin(A attempt) {
		boolean mayRunTwice = this.mayHaveRun || !this.attemptsInProgress.isEmpty();
		if (this.completed || this.selectedAttempt != null || (mayRunTwice && !this.mayRepeat)) {
			return false;
		}
		this.attemptsInProgress.add(attempt);
		this.unreportedAttempts.add(attempt);
		this.begunAttempts++;
		return true;
	}

	/**
	 * Ends an attempt that brought no response for the caller.
	 * @param attempt the attempt
	 * @param attemptMayHaveRun whether the attempt may have run the request
	 * @return what the end means for the request
	 */
	synchronized AttemptEnd endWithFailure(A attempt, boolean attemptMayHaveRun) {
		AttemptEnd end = isObsolete(attempt) ? AttemptEnd.OBSOLETE : AttemptEnd.DECISIVE;
		this.attemptsInProgress.remove(attempt);
		this.mayHaveRun |= attemptMayHaveRun;
		if (end == AttemptEnd.DECISIVE && !this.attemptsInProgress.isEmpty()) {
			return AttemptEnd.OTHERS_IN_PROGRESS;
		}
		return end;
	}

	/**
	 * Ends an attempt whose response has arrived whole, and completes the request with
	 * it.
	 * @param attempt the attempt
	 * @return whether the request is completed with this response, and was not before
	 */
	synchronized boolean endWithResponse(A attempt) {
		boolean obsolete = isObsolete(attempt);
		this.attemptsInProgress.remove(attempt);
		this.mayHaveRun = true;
		if (obsolete) {
			return false;
		}
		this.selectedAttempt = attempt;
		this.completed = true;
		return true;
	}

	/**
	 * Selects the attempt in progress whose response the caller receives.
	 * @param attempt the attempt
	 * @return whether it is selected
	 */
	synchronized boolean trySelect(A attempt) {
		if (isObsolete(attempt)) {
			return false;
		}
		this.selectedAttempt = attempt;
		this.mayHaveRun = true;
		return true;
	}

	// Whether the request is completed, or another attempt provides its response.
	private boolean isObsolete(A attempt) {
		return this.completed || (this.selectedAttempt != null && this.selectedAttempt != attempt);
	}

	/**
	 * Completes the request, whatever its attempts in progress do.
	 * @return whether the request ran, {@link RequestOutcome#NOT_RUN} or
	 * {@link RequestOutcome#UNKNOWN}; {@code null} if it was completed before
	 */
	synchronized @Nullable RequestOutcome tryComplete() {
		if (this.completed) {
			return null;
		}
		this.completed = true;
		return mayHaveRun() ? RequestOutcome.UNKNOWN : RequestOutcome.NOT_RUN;
	}

	/**
	 * Completes the request unless an attempt is in progress, which may still bring a
	 * response.
	 * @return as for {@link #tryComplete()}; {@code null} also if an attempt is in
	 * progress
	 */
	synchronized @Nullable RequestOutcome tryCompleteIdle() {
		return this.attemptsInProgress.isEmpty() ? tryComplete() : null;
	}

	/**
	 * Records that the router knows the end of an attempt.
	 * @param attempt the attempt
	 */
	synchronized void recordReport(A attempt) {
		this.unreportedAttempts.remove(attempt);
	}

	/**
	 * Closes a request that is completed and all of whose attempts are reported.
	 * @return whether it is closed now, and was not before
	 */
	synchronized boolean tryClose() {
		if (this.closed || !this.completed || !this.unreportedAttempts.isEmpty()) {
			return false;
		}
		this.closed = true;
		return true;
	}

	synchronized boolean isClosed() {
		return this.closed;
	}

	synchronized boolean isCompleted() {
		return this.completed;
	}

	/**
	 * Returns whether an attempt may have run the request, or may run it.
	 * @return {@code false} only if the request has not run and no attempt is in progress
	 */
	synchronized boolean mayHaveRun() {
		return this.mayHaveRun || !this.attemptsInProgress.isEmpty();
	}

	synchronized List<A> attemptsInProgress() {
		return List.copyOf(this.attemptsInProgress);
	}

	synchronized int begunAttempts() {
		return this.begunAttempts;
	}

	/**
	 * What the end of an attempt without a response means for its request.
	 */
	enum AttemptEnd {

		/**
		 * The request is completed, or another attempt provides its response.
		 */
		OBSOLETE,

		/**
		 * Other attempts may still bring a response.
		 */
		OTHERS_IN_PROGRESS,

		/**
		 * The request must be sent again, or completed without a response.
		 */
		DECISIVE

	}

}
