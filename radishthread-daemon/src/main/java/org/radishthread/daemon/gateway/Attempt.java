package org.radishthread.daemon.gateway;

import java.io.IOException;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.LoadReport;

/**
 * Sends a request to one upstream and reports the result to an {@link AttemptListener}.
 * The response is buffered until it is complete; if it exceeds the buffer limit, or the
 * memory for buffers is used up, it is streamed with the listener's consent. An attempt
 * fails if the response belongs to another request, if its status is none of HTTP, or if
 * its end cannot be distinguished from a lost connection or from a further response.
 */
final class Attempt implements Response.Listener {

	private static final int MINIMUM_FINAL_STATUS = 200;

	private static final int MAXIMUM_FINAL_STATUS = 599;

	private final String upstreamName;

	private final NetworkAddress upstreamAddress;

	private final Request request;

	private final HttpDialect dialect;

	private final @Nullable String requestId;

	private final int maximumBufferedBytes;

	private final AttemptListener listener;

	private final boolean useNewConnection;

	private final ReceivedBody body;

	private volatile boolean requestBegun;

	private volatile boolean withheld;

	private volatile boolean responseBegun;

	private volatile boolean streaming;

	private volatile boolean connectionLost;

	private volatile boolean namedByResponse;

	private volatile @Nullable LoadReport loadReport;

	private boolean completionReported;

	Attempt(String upstreamName, NetworkAddress upstreamAddress, Request request, HttpDialect dialect,
			@Nullable String requestId, int maximumBufferedBytes, boolean useNewConnection, AttemptListener listener) {
		this.upstreamName = upstreamName;
		this.upstreamAddress = upstreamAddress;
		this.request = request;
		this.dialect = dialect;
		this.requestId = requestId;
		this.maximumBufferedBytes = maximumBufferedBytes;
		this.useNewConnection = useNewConnection;
		this.listener = listener;
		this.body = new ReceivedBody(dialect, requestId);
	}

	String upstreamName() {
		return this.upstreamName;
	}

	NetworkAddress upstreamAddress() {
		return this.upstreamAddress;
	}

	boolean isOnNewConnection() {
		return this.useNewConnection;
	}

	// Relayed requests are tagged with their relay.
	boolean isRelayed() {
		return this.request.getTag() != null;
	}

	boolean hasResponseBegun() {
		return this.responseBegun;
	}

	// Whether the connection ended after a part of the request was sent and before the
	// response was complete, or may have been complete.
	boolean isConnectionLost() {
		return this.connectionLost;
	}

	// Whether the response states the id of the request.
	boolean isNamedByResponse() {
		return this.namedByResponse;
	}

	@Nullable LoadReport loadReport() {
		return this.loadReport;
	}

	/**
	 * Returns how much of the body of the response has arrived.
	 * @return the number of bytes
	 */
	long receivedBytes() {
		return this.body.receivedBytes();
	}

	/**
	 * Returns how the upstream marks the end of the body.
	 * @return the framing; meaningful once the head of the response has arrived
	 */
	BodyFraming framing() {
		return this.body.framing();
	}

	/**
	 * Returns whether the upstream sent a further response to the request after the body.
	 * @return whether not all received bytes belong to the body
	 */
	boolean isRepeated() {
		return this.body.isRepeated();
	}

	// Whether this instance did not send the request, for a reason that says nothing
	// about the upstream.
	boolean isWithheld() {
		return this.withheld;
	}

	void send() {
		this.request.onRequestBegin((request) -> begin());
		this.request.send(this);
	}

	// Decided here too, because the connection may have been established slowly, or this
	// process may have been suspended meanwhile.
	private void begin() {
		// Set first, because the client sends the request after an exception.
		this.requestBegun = true;
		if (!this.listener.maySend(this)) {
			this.requestBegun = false;
			this.withheld = true;
			abort(new GatewayException("The request may not be sent any more."));
		}
	}

	void abort(Throwable cause) {
		this.request.abort(cause);
	}

	@Override
	public void onBegin(Response response) {
		this.responseBegun = true;
	}

	@Override
	public void onHeaders(Response response) {
		if (!isFinalStatus(response.getStatus())) {
			abort(new GatewayException("The response has the status " + response.getStatus() + ", but a final one from "
					+ MINIMUM_FINAL_STATUS + " to " + MAXIMUM_FINAL_STATUS + " is expected."));
			return;
		}
		this.body.onHeaders(response.getHeaders());
		String echoedRequestId = this.dialect.echoedRequestId(response.getHeaders());
		if (echoedRequestId != null && !echoedRequestId.equals(this.requestId)) {
			abort(new GatewayException("The response belongs to another request: '" + echoedRequestId + "'."));
			return;
		}
		this.namedByResponse = echoedRequestId != null;
		this.loadReport = this.dialect.loadReport(response.getStatus(), response.getHeaders());
		if (hasBody(response) && framing() == BodyFraming.CLOSE && !this.dialect.acceptsCloseDelimitedResponses()) {
			abort(new GatewayException(
					"The response has neither Content-Length nor Transfer-Encoding, so its end cannot be detected."));
		}
	}

	private static boolean isFinalStatus(int status) {
		return status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_FINAL_STATUS;
	}

	private boolean hasBody(Response response) {
		return !HttpMethod.HEAD.is(this.request.getMethod()) && response.getStatus() != HttpStatus.NO_CONTENT_204
				&& response.getStatus() != HttpStatus.NOT_MODIFIED_304;
	}

	@Override
	public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
		byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
		this.body.onBytes(bytes);
		if (this.streaming) {
			if (this.body.containsFurtherHead()) {
				abort(repeatedResponse());
				return;
			}
			this.listener.onStreamedBytes(bytes, demander);
			return;
		}
		boolean withinLimit = this.body.bufferedSize() + bytes.length <= this.maximumBufferedBytes;
		boolean buffered = withinLimit && this.listener.tryReserveBuffer(bytes.length);
		this.body.buffer(bytes);
		if (buffered) {
			demander.run();
		}
		else if (tryStartStreaming(response)) {
			this.streaming = true;
			byte[] beginning = this.body.buffered();
			this.body.drop();
			this.listener.onStreamedBytes(beginning, demander);
		}
		else {
			abort(new GatewayException("The response exceeds the buffer limit and cannot be streamed to the caller."));
		}
	}

	private static GatewayException repeatedResponse() {
		return new GatewayException(
				"The upstream sent a further response to this request before it closed the connection.");
	}

	// On a connection that was used before, a response without an id may be a copy of an
	// earlier one.
	private void completeNotRun(Response response) {
		if (this.namedByResponse || this.useNewConnection) {
			this.listener.onNotRun(this, response, this.body.buffered());
			return;
		}
		this.listener.onFailure(this, AttemptFailure.REPORTED_NOT_RUN_WITHOUT_ID,
				new GatewayException("The upstream did not run a request, but does not name this one."));
	}

	private boolean isForwardable(Response response) {
		return this.dialect.isForwardable(this.requestId, response.getStatus(), response.getHeaders());
	}

	// A streamed response is checked before its first byte is sent to the caller, because
	// it cannot be withdrawn afterwards.
	private boolean tryStartStreaming(Response response) {
		int status = response.getStatus();
		return !this.body.containsFurtherHead() && isForwardable(response)
				&& !this.dialect.hasNotRun(status, response.getHeaders())
				&& this.listener.tryStartStreaming(this, response);
	}

	@Override
	public void onComplete(Result result) {
		synchronized (this) {
			if (this.completionReported) {
				return;
			}
			this.completionReported = true;
		}
		this.connectionLost = this.requestBegun && result.getFailure() instanceof IOException;
		if (result.isFailed() || !mayBeCutByEndOfUpstream(result.getResponse())) {
			complete(result);
			return;
		}
		this.listener.isUpstreamLost(this).thenAccept((lost) -> {
			this.connectionLost = lost;
			complete(result);
		});
	}

	// The operating system closes the connections of a process that ends. A leaving
	// upstream completes its responses before it ends.
	private boolean mayBeCutByEndOfUpstream(Response response) {
		LoadReport report = this.loadReport;
		return framing() == BodyFraming.CLOSE && hasBody(response) && (report == null || !report.leaving());
	}

	private void complete(Result result) {
		try {
			report(result);
		}
		finally {
			release();
		}
	}

	// Each open connection of the client refers to its last request until it has the next
	// one.
	private void release() {
		this.body.drop();
		this.request.body(null);
		this.request.headers((headers) -> {
			// Makes clear() replace the array, which would keep the fields.
			headers.asImmutable();
			headers.clear();
		});
	}

	private void report(Result result) {
		boolean succeeded = result.isSucceeded() && !this.connectionLost;
		if (this.streaming) {
			this.listener.onStreamCompleted(this, succeeded && !this.body.isRepeated());
		}
		else if (result.isFailed()) {
			this.listener.onFailure(this,
					this.requestBegun ? AttemptFailure.NO_COMPLETE_RESPONSE : AttemptFailure.NOT_SENT,
					result.getFailure());
		}
		else if (this.dialect.hasNotRun(result.getResponse().getStatus(), result.getResponse().getHeaders())) {
			completeNotRun(result.getResponse());
		}
		else if (!succeeded) {
			this.listener.onFailure(this, AttemptFailure.NO_COMPLETE_RESPONSE,
					new GatewayException("The upstream refuses connections, so its end may have cut the response."));
		}
		else if (!isForwardable(result.getResponse())) {
			this.listener.onFailure(this, AttemptFailure.NO_COMPLETE_RESPONSE,
					new GatewayException("The response with status " + result.getResponse().getStatus()
							+ " is not confirmed as the response to this request."));
		}
		else {
			completeWhole(result.getResponse());
		}
	}

	private void completeWhole(Response response) {
		byte[] whole = this.body.whole();
		if (whole != null) {
			this.listener.onCompleteResponse(this, response, whole);
			return;
		}
		this.listener.onFailure(this, AttemptFailure.NO_COMPLETE_RESPONSE, repeatedResponse());
	}

}
