package org.radishthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

import org.radishthread.rules.RouteMode;

/**
 * The body of a caller's request, which is buffered before the first attempt, or streamed
 * to one upstream. Safe for use by several threads.
 */
final class CallerBody {

	private final Request request;

	private final RouteMode mode;

	private final int maximumBufferedBytes;

	private volatile byte @Nullable [] bytes;

	/**
	 * Creates a body that is not read yet.
	 * @param request the request of the caller
	 * @param mode the delivery mode of its route
	 * @param maximumBufferedBytes the size up to which the body is buffered
	 */
	CallerBody(Request request, RouteMode mode, int maximumBufferedBytes) {
		this.request = request;
		this.mode = mode;
		this.maximumBufferedBytes = maximumBufferedBytes;
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
	 * after an upstream declined the request.
	 * @return whether the body is streamed
	 */
	boolean isStreamed() {
		long length = this.request.getLength();
		boolean fitsBuffer = length >= 0 && length <= this.maximumBufferedBytes;
		return this.mode.isBodyStreamed() && !fitsBuffer;
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
	 * @return the bytes, or a failure if the body is not received whole or too large
	 */
	CompletableFuture<byte[]> buffer() {
		return Content.Source.asByteArrayAsync(this.request, this.maximumBufferedBytes)
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
		return (content != null) ? new BytesRequestContent(contentType, content) : null;
	}

}
