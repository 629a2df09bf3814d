package org.radishthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.client.Response;

import org.radishthread.routing.AttemptFailure;

/**
 * Receives the events of an {@link Attempt}, possibly on different threads. The last
 * event is one of {@code onCompleteResponse}, {@code onNotRun}, {@code onStreamCompleted}
 * and {@code onFailure}.
 */
interface AttemptListener {

	/**
	 * Decides whether the request may still be sent. Called once a connection is
	 * available, right before the first byte.
	 * @param attempt the attempt
	 * @return whether to send it; if not, the attempt fails as not sent
	 */
	boolean maySend(Attempt attempt);

	/**
	 * Handles a complete response that was buffered.
	 * @param attempt the attempt
	 * @param response status and headers
	 * @param body the complete body
	 */
	void onCompleteResponse(Attempt attempt, Response response, byte[] body);

	/**
	 * Handles a response by which the upstream states that it did not run the request.
	 * @param attempt the attempt
	 * @param response status and headers
	 * @param body the complete body
	 */
	void onNotRun(Attempt attempt, Response response, byte[] body);

	/**
	 * Decides whether a part of a response may be buffered.
	 * @param bytes the size of the part
	 * @return whether this instance has memory for it
	 */
	boolean tryReserveBuffer(int bytes);

	/**
	 * Decides whether a response that is not buffered is streamed to the caller.
	 * @param attempt the attempt
	 * @param response status and headers
	 * @return whether to stream the response; if not, the attempt is aborted
	 */
	boolean tryStartStreaming(Attempt attempt, Response response);

	/**
	 * Handles a part of the body of a streamed response.
	 * @param bytes the part
	 * @param demander requests the next part; to be run when this one is written
	 */
	void onStreamedBytes(byte[] bytes, Runnable demander);

	/**
	 * Finds out whether the connection of an attempt may have been closed by the end of
	 * its upstream, instead of by the upstream.
	 * @param attempt the attempt, whose response ended with its connection
	 * @return whether the upstream is known to have ended; never fails
	 */
	CompletableFuture<Boolean> isUpstreamLost(Attempt attempt);

	/**
	 * Handles the end of a streamed response.
	 * @param attempt the attempt
	 * @param complete whether the response was received completely
	 */
	void onStreamCompleted(Attempt attempt, boolean complete);

	/**
	 * Handles an attempt that brings no complete response.
	 * @param attempt the attempt
	 * @param failure whether the request may have run
	 * @param cause the reason for the failure
	 */
	void onFailure(Attempt attempt, AttemptFailure failure, Throwable cause);

}
