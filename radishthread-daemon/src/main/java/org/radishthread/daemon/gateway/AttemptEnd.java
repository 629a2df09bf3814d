package org.radishthread.daemon.gateway;

import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.AttemptResult;

/**
 * How an attempt ended, in the terms of the router.
 */
enum AttemptEnd {

	/**
	 * A whole answer came.
	 */
	ANSWERED(AttemptResult.SUCCESS),

	/**
	 * A whole answer came that tells of a failure of the upstream.
	 */
	ANSWERED_BY_SERVER_ERROR(AttemptResult.FAILURE),

	/**
	 * No whole answer came.
	 */
	FAILED(AttemptResult.FAILURE),

	/**
	 * No connection could be opened.
	 */
	UNREACHABLE(AttemptResult.UNREACHABLE),

	/**
	 * The other end did not run the request.
	 */
	REFUSED(AttemptResult.SHED),

	/**
	 * The attempt was not needed any more.
	 */
	CANCELLED(AttemptResult.CANCELLED);

	private static final int SERVER_ERROR = 500;

	private static final int NOT_IMPLEMENTED = 501;

	private final AttemptResult result;

	AttemptEnd(AttemptResult result) {
		this.result = result;
	}

	AttemptResult result() {
		return this.result;
	}

	static AttemptEnd ofAnswer(int status) {
		return (status >= SERVER_ERROR && status != NOT_IMPLEMENTED) ? ANSWERED_BY_SERVER_ERROR : ANSWERED;
	}

	static AttemptEnd of(AttemptFailure outcome) {
		return switch (outcome) {
			case NOT_SENT -> UNREACHABLE;
			case REPORTED_NOT_RUN -> REFUSED;
			case NO_COMPLETE_RESPONSE -> FAILED;
		};
	}

}
