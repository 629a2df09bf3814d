package org.radishthread.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.Objects;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Writes the response of one exchange to its caller, at once or in parts. A response that
 * is broken off, or that the end of this process cuts, never looks complete: it lacks
 * bytes that its head promises or its last chunk, or else the connection is reset. Safe
 * for use by several threads, one after the other.
 */
final class CallerResponse {

	private final HttpDialect dialect;

	private final Request request;

	private final Response response;

	private final Callback callback;

	// The framing of a response that is streamed.
	private volatile @Nullable BodyFraming framing;

	/**
	 * Creates a writer.
	 * @param dialect decides which headers of upstreams are forwarded
	 * @param request the request of the caller
	 * @param response the response to write to
	 * @param callback the callback to complete when the response is written
	 */
	CallerResponse(HttpDialect dialect, Request request, Response response, Callback callback) {
		this.dialect = dialect;
		this.request = request;
		this.response = response;
		this.callback = callback;
	}

	/**
	 * Returns the version of HTTP that the caller speaks, and whether its connection
	 * stays open after the response.
	 * @return a text for the log
	 */
	String callerProtocol() {
		ConnectionMetaData connection = this.request.getConnectionMetaData();
		return connection.getHttpVersion().asString() + (connection.isPersistent() ? " kept" : " closing");
	}

	int status() {
		return this.response.getStatus();
	}

	/**
	 * Returns whether a part of the response may have been written already, so that no
	 * other response can take its place.
	 * @return whether {@link #beginStreaming} was called
	 */
	boolean isStreaming() {
		return this.framing != null;
	}

	/**
	 * Returns how the response marks its end.
	 * @return the framing
	 */
	BodyFraming framing() {
		return Objects.requireNonNullElse(this.framing, BodyFraming.LENGTH);
	}

	void copyHead(org.eclipse.jetty.client.Response upstreamResponse) {
		this.response.setStatus(upstreamResponse.getStatus());
		EndToEndHeaders.copyResponseHeaders(this.dialect, upstreamResponse.getHeaders(), this.response.getHeaders());
	}

	void writeWhole(byte[] content) {
		this.response.write(true, ByteBuffer.wrap(content), this.callback);
	}

	void writeWhole(AbstractExchange.ResponseWriter writer) {
		writer.write(this.response, this.callback);
	}

	void writeWhole(Problem problem) {
		problem.write(this.dialect, this.response, this.callback);
	}

	void beginStreaming(org.eclipse.jetty.client.Response upstreamResponse) {
		BodyFraming chosenFraming = BodyFraming.forCaller(upstreamResponse.getHeaders(),
				this.request.getConnectionMetaData().getHttpVersion());
		this.framing = chosenFraming;
		copyHead(upstreamResponse);
		chosenFraming.copyTo(this.response.getHeaders(), upstreamResponse.getHeaders());
		if (chosenFraming == BodyFraming.CLOSE) {
			setResetOnClose(true);
		}
	}

	private void setResetOnClose(boolean reset) {
		if (this.request.getConnectionMetaData().getConnection().getEndPoint() instanceof CallerEndPoint endPoint) {
			endPoint.setResetOnClose(reset);
		}
	}

	void writePart(byte[] bytes, Callback written) {
		this.response.write(false, ByteBuffer.wrap(bytes), written);
	}

	void endStreaming() {
		// All parts have been handed to the operating system.
		if (this.framing == BodyFraming.CLOSE) {
			setResetOnClose(false);
		}
		this.response.write(true, ByteBuffer.allocate(0), this.callback);
	}

	/**
	 * Ends the response without completing it. If nothing of it was written, the caller
	 * gets a server error, or status 400 if its request cannot be read.
	 * @param cause the reason
	 */
	void breakOff(Throwable cause) {
		// Jetty writes the status of the cause, which may state that the request has
		// not run.
		boolean hasOtherStatus = cause instanceof HttpException exception
				&& exception.getCode() != HttpStatus.BAD_REQUEST_400;
		this.callback.failed(hasOtherStatus ? new GatewayException("The response was broken off.", cause) : cause);
	}

}
