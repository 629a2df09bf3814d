package org.radishthread.daemon.gateway;

import java.io.ByteArrayInputStream;
import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.content.InputStreamContentSource;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.http.BodyReader;
import org.radishthread.daemon.http.BodyTooLargeException;
import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.http.BufferBudgetException;
import org.radishthread.rules.RouteMode;

/**
 * The body of a caller's request, which is buffered before the first attempt, or streamed
 * to one upstream. Safe for use by several threads.
 */
final class CallerBody {

	private static final int PIECE_BYTES = 16 * 1_024;

	private final Request request;

	private final int maximumBufferedBytes;

	private final BufferBudget.Reservation reservation;

	private final boolean streamed;

	private long reservedBytes;

	private volatile byte @Nullable [] bytes;

	/**
	 * Creates a body that is not read yet.
	 * @param request the request of the caller
	 * @param mode the delivery mode of its route
	 * @param maximumBufferedBytes the size up to which the body is buffered
	 * @param reservation reserves the bytes that are buffered
	 */
	CallerBody(Request request, RouteMode mode, int maximumBufferedBytes, BufferBudget.Reservation reservation) {
		this.request = request;
		this.maximumBufferedBytes = maximumBufferedBytes;
		this.reservation = reservation;
		this.streamed = mode.isBodyStreamed() && !(fitsBuffer() && tryReserve());
	}

	private boolean fitsBuffer() {
		return this.request.getLength() >= 0 && this.request.getLength() <= this.maximumBufferedBytes;
	}

	// Reserves a stated length at once, so that a body that has begun to arrive is not
	// refused for lack of memory.
	private boolean tryReserve() {
		if (!this.reservation.tryReserve(this.request.getLength())) {
			return false;
		}
		this.reservedBytes = this.request.getLength();
		return true;
	}

	/**
	 * Returns the buffered body.
	 * @return the bytes, or {@code null} if there is no body, or if it is streamed or not
	 * read yet
	 */
	byte @Nullable [] bytes() {
		return this.bytes;
	}

	/**
	 * Returns whether the body is forwarded as it arrives, so that it can be sent only
	 * once. A small body of an upload is buffered instead, so that it can be sent again
	 * after an upstream declined the request, unless the memory for buffers is used up.
	 * @return whether the body is streamed
	 */
	boolean isStreamed() {
		return this.streamed;
	}

	/**
	 * Returns whether this instance has read the whole body.
	 * @return whether it is buffered, or there is none
	 */
	boolean isRead() {
		return !isPresent() || this.bytes != null;
	}

	private boolean isPresent() {
		return this.request.getLength() > 0 || this.request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
	}

	/**
	 * Returns whether the body must be buffered before the first attempt.
	 * @return whether there is a body that is not streamed
	 */
	boolean needsBuffering() {
		return isPresent() && !isStreamed();
	}

	/**
	 * Buffers the body.
	 * @return the bytes, or a failure of {@link BodyReader}
	 */
	CompletableFuture<byte[]> buffer() {
		if (this.request.getLength() > this.maximumBufferedBytes) {
			return CompletableFuture.failedFuture(new BodyTooLargeException(this.maximumBufferedBytes));
		}
		if (this.request.getLength() > this.reservedBytes && !tryReserve()) {
			return CompletableFuture.failedFuture(new BufferBudgetException());
		}
		return BodyReader.read(this.request, this.maximumBufferedBytes, this.reservation, this.reservedBytes)
			.whenComplete((content, failure) -> this.bytes = content);
	}

	/**
	 * Creates the content of an attempt.
	 * @return the content, or {@code null} if there is no body
	 */
	org.eclipse.jetty.client.Request.@Nullable Content toContent() {
		String contentType = this.request.getHeaders().get(HttpHeader.CONTENT_TYPE);
		if (isStreamed()) {
			return new ContentSourceRequestContent(this.request, contentType);
		}
		byte[] content = this.bytes;
		if (content == null) {
			return null;
		}
		return (content.length <= PIECE_BYTES) ? new BytesRequestContent(contentType, content)
				: new ContentSourceRequestContent(new PiecewiseSource(content), contentType);
	}

	/**
	 * Copies a body piece by piece while it is sent. The HTTP client keeps what a
	 * connection sent last until the connection is removed, which would be the whole
	 * body.
	 */
	private static final class PiecewiseSource extends InputStreamContentSource {

		private final long length;

		private PiecewiseSource(byte[] content) {
			super(new ByteArrayInputStream(content), new ByteBufferPool.Sized(null, false, PIECE_BYTES));
			this.length = content.length;
		}

		@Override
		public long getLength() {
			return this.length;
		}

	}

}
