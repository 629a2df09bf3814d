package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a caller that tells whether the caller went away while its request is
 * under way; HTTP/1.1 connections of the server read nothing then. Bytes read by that
 * look are handed to the next reader.
 */
final class CallerEndPoint extends SocketChannelEndPoint {

	private static final int LOOK_BYTES = 2_048;

	private final ByteBuffer seen = BufferUtil.allocate(LOOK_BYTES);

	private boolean closed;

	CallerEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
		super(channel, selector, key, scheduler);
	}

	/**
	 * Looks whether the caller closed the connection.
	 * @return whether it did
	 */
	synchronized boolean isCallerGone() {
		if (this.closed || !getChannel().isOpen()) {
			return true;
		}
		// Bytes that wait show a caller that sent its next request.
		if (getFillInterest().isInterested() || this.seen.hasRemaining()) {
			return false;
		}
		int position = BufferUtil.flipToFill(this.seen);
		try {
			this.closed = getChannel().read(this.seen) < 0;
		}
		catch (IOException ex) {
			this.closed = true;
		}
		finally {
			BufferUtil.flipToFlush(this.seen, position);
		}
		return this.closed;
	}

	@Override
	public synchronized int fill(ByteBuffer buffer) throws IOException {
		if (this.seen.hasRemaining()) {
			return BufferUtil.append(buffer, this.seen);
		}
		if (this.closed) {
			return -1;
		}
		return super.fill(buffer);
	}

	@Override
	protected void needsFillInterest() {
		boolean waiting;
		synchronized (this) {
			waiting = this.seen.hasRemaining() || this.closed;
		}
		if (!waiting) {
			super.needsFillInterest();
		}
		else if (!getFillInterest().fillable()) {
			getFillInterest().onFail(new EofException("The connection has no reader."));
		}
	}

}
