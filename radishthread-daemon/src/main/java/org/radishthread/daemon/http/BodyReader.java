package org.radishthread.daemon.http;

import java.util.concurrent.CompletableFuture;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads the body of a request into memory, as far as its size and a {@link BufferBudget}
 * allow. Not safe for concurrent use: the source calls it on one thread at a time.
 */
public final class BodyReader implements Runnable {

	// The chunks that are read in one turn, so that many small ones do not occupy the
	// thread that reads from all connections.
	private static final int MAXIMUM_CHUNKS_PER_TURN = 256;

	private final Content.Source source;

	private final int maximumBytes;

	private final BufferBudget.Reservation reservation;

	private final long reservedBytes;

	// Expects the stated length of the body, if bytes were reserved for it, so that the
	// body is not copied.
	private final BodyBuffer buffer;

	private final CompletableFuture<byte[]> result = new CompletableFuture<>();

	private BodyReader(Content.Source source, int maximumBytes, BufferBudget.Reservation reservation,
			long reservedBytes) {
		this.source = source;
		this.maximumBytes = maximumBytes;
		this.reservation = reservation;
		this.reservedBytes = reservedBytes;
		this.buffer = new BodyBuffer((int) Math.min(maximumBytes, reservedBytes));
	}

	/**
	 * Reads a body.
	 * @param source the source of the body
	 * @param maximumBytes the maximum size of the body
	 * @param reservation reserves the bytes; to be released by the caller
	 * @return the body, or a failure: {@link BodyTooLargeException},
	 * {@link BufferBudgetException}, or the reason why it did not arrive whole
	 */
	public static CompletableFuture<byte[]> read(Content.Source source, int maximumBytes,
			BufferBudget.Reservation reservation) {
		return read(source, maximumBytes, reservation, 0);
	}

	/**
	 * Reads a body for which bytes were reserved before.
	 * @param source the source of the body
	 * @param maximumBytes the maximum size of the body
	 * @param reservation reserves the bytes beyond those; to be released by the caller
	 * @param reservedBytes the bytes that were reserved before
	 * @return the body, or a failure as for the other method
	 */
	public static CompletableFuture<byte[]> read(Content.Source source, int maximumBytes,
			BufferBudget.Reservation reservation, long reservedBytes) {
		BodyReader reader = new BodyReader(source, maximumBytes, reservation, reservedBytes);
		reader.run();
		return reader.result;
	}

	@Override
	public void run() {
		int chunks = 0;
		while (!this.result.isDone()) {
			chunks++;
			if (chunks > MAXIMUM_CHUNKS_PER_TURN && this.source instanceof Request request) {
				request.getComponents().getExecutor().execute(this);
				return;
			}
			Content.Chunk chunk = this.source.read();
			if (chunk == null) {
				this.source.demand(this);
				return;
			}
			if (Content.Chunk.isFailure(chunk)) {
				this.result.completeExceptionally(chunk.getFailure());
				return;
			}
			append(chunk);
			chunk.release();
			if (chunk.isLast()) {
				// Has no effect after a failure.
				this.result.complete(this.buffer.toByteArray());
			}
		}
	}

	private void append(Content.Chunk chunk) {
		long newSize = this.buffer.size() + (long) chunk.remaining();
		long bytesToReserve = newSize - Math.max(this.buffer.size(), this.reservedBytes);
		if (newSize > this.maximumBytes) {
			this.result.completeExceptionally(new BodyTooLargeException(this.maximumBytes));
		}
		else if (bytesToReserve > 0 && !this.reservation.tryReserve(bytesToReserve)) {
			this.result.completeExceptionally(new BufferBudgetException());
		}
		else {
			this.buffer.append(chunk.getByteBuffer());
		}
	}

}
