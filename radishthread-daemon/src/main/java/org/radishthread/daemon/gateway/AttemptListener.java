package org.radishthread.daemon.gateway;

import org.eclipse.jetty.client.Response;

import org.radishthread.routing.AttemptFailure;

/**
 * Learns how an {@link Attempt} goes.
 */
interface AttemptListener {

	/**
	 * The whole answer is held.
	 * @param attempt the attempt
	 * @param answer status and headers
	 * @param body the whole body
	 */
	void whole(Attempt attempt, Response answer, byte[] body);

	/**
	 * The other end says that it did not run the request.
	 * @param attempt the attempt
	 * @param answer status and headers
	 * @param body the whole body
	 */
	void refused(Attempt attempt, Response answer, byte[] body);

	/**
	 * The answer is too large to be held.
	 * @param attempt the attempt
	 * @param answer status and headers
	 * @return whether the rest may be streamed; if not, the attempt is given up
	 */
	boolean mayStream(Attempt attempt, Response answer);

	/**
	 * A part of a streamed answer arrived.
	 * @param bytes the part
	 * @param done to be run when more can be taken
	 */
	void part(byte[] bytes, Runnable done);

	/**
	 * A streamed answer ended.
	 * @param attempt the attempt
	 * @param complete whether it was whole
	 */
	void streamEnded(Attempt attempt, boolean complete);

	/**
	 * There will be no whole answer.
	 * @param attempt the attempt
	 * @param outcome what is known
	 * @param cause why
	 */
	void failed(Attempt attempt, AttemptFailure outcome, Throwable cause);

}
