package org.radishthread.daemon.gateway;

import java.io.ByteArrayOutputStream;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.LoadReport;

/**
 * Sends a request to one upstream or home instance and holds the answer until it is whole
 * or too large to be held. An answer whose end can not be told from a lost connection, or
 * that belongs to another request, counts as broken.
 */
final class Attempt implements Response.Listener {

	private final String targetName;

	private final NetworkAddress targetAddress;

	private final Request request;

	private final HttpDialect dialect;

	private final @Nullable String requestId;

	private final int heldLimit;

	private final AttemptListener listener;

	private final boolean onNewConnection;

	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	private volatile boolean begun;

	private volatile boolean answered;

	private volatile boolean streaming;

	private volatile @Nullable LoadReport load;

	private boolean reported;

	Attempt(String targetName, NetworkAddress targetAddress, Request request, HttpDialect dialect,
			@Nullable String requestId, int heldLimit, boolean onNewConnection, AttemptListener listener) {
		this.targetName = targetName;
		this.targetAddress = targetAddress;
		this.request = request;
		this.dialect = dialect;
		this.requestId = requestId;
		this.heldLimit = heldLimit;
		this.onNewConnection = onNewConnection;
		this.listener = listener;
	}

	String targetName() {
		return this.targetName;
	}

	NetworkAddress targetAddress() {
		return this.targetAddress;
	}

	boolean isOnNewConnection() {
		return this.onNewConnection;
	}

	boolean hasAnswerBegun() {
		return this.answered;
	}

	@Nullable LoadReport reportedLoad() {
		return this.load;
	}

	void send() {
		this.request.onRequestBegin((sent) -> this.begun = true);
		this.request.send(this);
	}

	void abort(Throwable cause) {
		this.request.abort(cause);
	}

	@Override
	public void onBegin(Response response) {
		this.answered = true;
	}

	@Override
	public void onHeaders(Response response) {
		this.load = this.dialect.loadReport(response.getHeaders());
		String echoed = this.dialect.echoedRequestId(response.getHeaders());
		if (echoed != null && !echoed.equals(this.requestId)) {
			abort(new GatewayException("The answer belongs to request '" + echoed + "'."));
		}
		else if (!isEndKnown(response)) {
			abort(new GatewayException("The answer has neither a length nor chunks, so its end is unknown."));
		}
	}

	private boolean isEndKnown(Response response) {
		HttpFields headers = response.getHeaders();
		return this.dialect.acceptsCloseDelimitedResponses() || HttpMethod.HEAD.is(this.request.getMethod())
				|| response.getStatus() == HttpStatus.NO_CONTENT_204
				|| response.getStatus() == HttpStatus.NOT_MODIFIED_304 || headers.contains(HttpHeader.CONTENT_LENGTH)
				|| headers.contains(HttpHeader.TRANSFER_ENCODING);
	}

	@Override
	public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
		byte[] bytes = BufferUtil.toArray(chunk.getByteBuffer());
		if (this.streaming) {
			this.listener.part(bytes, demander);
			return;
		}
		this.held.writeBytes(bytes);
		if (this.held.size() <= this.heldLimit) {
			demander.run();
		}
		else if (mayStream(response)) {
			this.streaming = true;
			this.listener.part(this.held.toByteArray(), demander);
		}
		else {
			abort(new GatewayException("Another attempt was faster."));
		}
	}

	private boolean isForwardable(Response response) {
		return this.dialect.isForwardable(this.requestId, response.getStatus(), response.getHeaders());
	}

	// What can not be judged after its end is judged before its first byte is passed on.
	private boolean mayStream(Response response) {
		int status = response.getStatus();
		return isForwardable(response) && !this.dialect.isNotRun(status, response.getHeaders())
				&& this.listener.mayStream(this, response);
	}

	@Override
	public void onComplete(Result result) {
		synchronized (this) {
			if (this.reported) {
				return;
			}
			this.reported = true;
		}
		if (this.streaming) {
			this.listener.streamEnded(this, result.isSucceeded());
		}
		else if (result.isFailed()) {
			this.listener.failed(this, this.begun ? AttemptFailure.NO_COMPLETE_RESPONSE : AttemptFailure.NOT_SENT,
					result.getFailure());
		}
		else if (this.dialect.isNotRun(result.getResponse().getStatus(), result.getResponse().getHeaders())) {
			this.listener.refused(this, result.getResponse(), this.held.toByteArray());
		}
		else if (!isForwardable(result.getResponse())) {
			this.listener.failed(this, AttemptFailure.NO_COMPLETE_RESPONSE, new GatewayException(
					"The answer with status " + result.getResponse().getStatus() + " does not show that it is whole."));
		}
		else {
			this.listener.whole(this, result.getResponse(), this.held.toByteArray());
		}
	}

}
