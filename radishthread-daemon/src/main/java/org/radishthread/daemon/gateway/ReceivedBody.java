package org.radishthread.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.Arrays;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.http.BodyBuffer;

/**
 * The body of one response of an upstream, as far as it has arrived, and which of its
 * bytes belong to the response. A body that ends with its connection is followed by
 * whatever the upstream sends before it closes, so it is searched for the head of another
 * response to the same request. Calls must not overlap.
 */
final class ReceivedBody {

	private final HttpDialect dialect;

	private final @Nullable String requestId;

	private BodyBuffer bufferedBytes = new BodyBuffer();

	private volatile long receivedBytes;

	private volatile BodyFraming framing = BodyFraming.CLOSE;

	// Present if bytes of another response could be taken for a part of the body.
	private @Nullable EmbeddedHeadScanner scanner;

	private volatile EmbeddedHeadScanner.@Nullable EmbeddedHead repeatedHead;

	ReceivedBody(HttpDialect dialect, @Nullable String requestId) {
		this.dialect = dialect;
		this.requestId = requestId;
	}

	void onHeaders(HttpFields headers) {
		this.framing = BodyFraming.of(headers);
		if (this.framing == BodyFraming.CLOSE) {
			this.scanner = new EmbeddedHeadScanner(
					(embeddedHeaders) -> this.dialect.isRepeatedResponse(this.requestId, embeddedHeaders));
		}
	}

	/**
	 * Examines the next bytes, without buffering them.
	 * @param bytes the bytes
	 */
	void onBytes(byte[] bytes) {
		this.receivedBytes += bytes.length;
		if (this.scanner != null && this.repeatedHead == null) {
			this.repeatedHead = this.scanner.scan(bytes);
		}
	}

	void buffer(byte[] bytes) {
		this.bufferedBytes.append(ByteBuffer.wrap(bytes));
	}

	int bufferedSize() {
		return this.bufferedBytes.size();
	}

	byte[] buffered() {
		return this.bufferedBytes.toByteArray();
	}

	/**
	 * Drops the buffered bytes, which are delivered or not needed any more.
	 */
	void drop() {
		this.bufferedBytes = new BodyBuffer();
	}

	long receivedBytes() {
		return this.receivedBytes;
	}

	BodyFraming framing() {
		return this.framing;
	}

	/**
	 * Returns whether the upstream has sent the head of another response to the same
	 * request.
	 * @return whether not all bytes belong to the first response
	 */
	boolean containsFurtherHead() {
		return this.repeatedHead != null;
	}

	/**
	 * Returns whether the upstream had begun to send another response to the same request
	 * when the connection ended.
	 * @return whether not all bytes belong to the first response
	 */
	boolean isRepeated() {
		return containsFurtherHead() || (this.requestId != null && this.scanner != null
				&& this.requestId.equals(this.dialect.echoedRequestId(this.scanner.unfinishedHeaders())));
	}

	/**
	 * Returns the body without what was sent after it. The end of a body that ends with
	 * its connection is known if nothing follows it, or if the upstream repeats exactly
	 * the same body.
	 * @return the body, or {@code null} if its end is not known
	 */
	byte @Nullable [] whole() {
		byte[] bytes = buffered();
		if (!isRepeated()) {
			return bytes;
		}
		EmbeddedHeadScanner.EmbeddedHead head = this.repeatedHead;
		if (head == null) {
			return null;
		}
		int end = (int) head.start();
		boolean confirmed = Arrays.equals(bytes, 0, end, bytes, (int) head.end(), bytes.length);
		return confirmed ? Arrays.copyOf(bytes, end) : null;
	}

}
