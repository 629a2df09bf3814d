package org.radishthread.daemon.gateway;

import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.AttemptResult;

/**
 * Outcome of a completed {@link Attempt}, with the {@link AttemptResult} that is reported
 * to the router.
 */
enum AttemptCompletion {

	/**
	 * The upstream returned a complete response: either streamed, with any status, or
	 * buffered, with a status below 500 or with 501.
	 */
	COMPLETE_RESPONSE(AttemptResult.SUCCESS),

	/**
	 * The upstream returned a complete response, which was buffered, with a server error
	 * status other than 501.
	 */
	SERVER_ERROR_RESPONSE(AttemptResult.FAILURE),

	/**
	 * The request was sent at least in part, and no complete response was received that
	 * may be forwarded.
	 */
	FAILED(AttemptResult.FAILURE),

	/**
	 * The connection ended after the request was sent, at least in part, and before the
	 * response was complete.
	 */
	CONNECTION_LOST(AttemptResult.CONNECTION_LOST),

	/**
	 * Nothing of the request was sent, usually because no connection could be opened.
	 */
	UNREACHABLE(AttemptResult.UNREACHABLE),

	/**
	 * The upstream responded that it declined the request without running it.
	 */
	SHED(AttemptResult.SHED),

	/**
	 * The upstream responded that it declined a request without running it, but did not
	 * say which.
	 */
	SHED_WITHOUT_ID(AttemptResult.SHED_WITHOUT_ID),

	/**
	 * The attempt was aborted, or not sent, because its response was no longer needed.
	 */
	CANCELLED(AttemptResult.CANCELLED);

	private static final int SERVER_ERROR_STATUS = 500;

	private static final int NOT_IMPLEMENTED_STATUS = 501;

	private final AttemptResult result;

	AttemptCompletion(AttemptResult result) {
		this.result = result;
	}

	AttemptResult result() {
		return this.result;
	}

	static AttemptCompletion ofStatus(int status) {
		return (status >= SERVER_ERROR_STATUS && status != NOT_IMPLEMENTED_STATUS) ? SERVER_ERROR_RESPONSE
				: COMPLETE_RESPONSE;
	}

	static AttemptCompletion of(AttemptFailure failure, boolean connectionLost) {
		return switch (failure) {
			case NOT_SENT -> UNREACHABLE;
			case REPORTED_NOT_RUN -> SHED;
			case REPORTED_NOT_RUN_WITHOUT_ID -> SHED_WITHOUT_ID;
			case NO_COMPLETE_RESPONSE -> connectionLost ? CONNECTION_LOST : FAILED;
		};
	}

}
