package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

import org.radishthread.daemon.http.BufferBudget;

/**
 * Connection of a caller that can be checked for a close by the caller while a request is
 * in progress. Jetty does not read from an HTTP/1.1 connection during that time and would
 * not notice the close. Bytes read by the check are returned by the next {@link #fill}.
 * If the budget has no room for them, the requests that the caller sent ahead are
 * dropped, and the connection is closed with the response in progress.
 */
final class CallerEndPoint extends SocketChannelEndPoint {

	private static final int INITIAL_READ_AHEAD_BYTES = 2_048;

	// The bytes of further requests that are read while one is in progress. More stay
	// with the caller; its close is then noticed when the request is completed.
	private static final int MAXIMUM_READ_AHEAD_BYTES = 64 * 1_024;

	private static final int DISCARD_BUFFER_BYTES = 8 * 1_024;

	// In one check, so that a caller that goes on sending does not occupy the thread.
	private static final int MAXIMUM_DISCARDING_READS = 8;

	// Linger time, in seconds.
	private static final int RESET_ON_CLOSE = 0;

	// Linger time; no limit for what is still to be sent.
	private static final int REGULAR_CLOSE = -1;

	private ByteBuffer readAhead = BufferUtil.allocate(INITIAL_READ_AHEAD_BYTES);

	private final BufferBudget.Reservation reservation;

	private boolean closedByCaller;

	private boolean discarding;

	CallerEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler,
			BufferBudget.Reservation reservation) {
		super(channel, selector, key, scheduler);
		this.reservation = reservation;
	}

	// The selector refers to a closed connection until it has handled all others that are
	// ready, so the buffer is dropped with its reservation.
	@Override
	public void onClose(Throwable cause) {
		synchronized (this) {
			this.readAhead = BufferUtil.EMPTY_BUFFER;
		}
		this.reservation.release();
		super.onClose(cause);
	}

	/**
	 * Sets how the connection is closed, by this process or by the operating system when
	 * this process ends.
	 * @param reset whether to reset it, instead of closing it regularly
	 */
	void setResetOnClose(boolean reset) {
		try {
			getChannel().setOption(StandardSocketOptions.SO_LINGER, reset ? RESET_ON_CLOSE : REGULAR_CLOSE);
		}
		catch (IOException ex) {
			// The connection is closed already.
			close(ex);
		}
	}

	/**
	 * Returns whether the caller closed the connection. Reads from the channel if no
	 * other reader is registered.
	 * @return whether the connection is closed
	 */
	synchronized boolean isClosedByCaller() {
		if (this.closedByCaller || !getChannel().isOpen()) {
			return true;
		}
		// A close follows the bytes of the requests that the caller sent before it.
		if (getFillInterest().isInterested()) {
			return false;
		}
		if (!this.discarding && isReadAheadFull() && !extendReadAhead()) {
			return false;
		}
		try {
			this.closedByCaller = this.discarding ? discard() : readAhead();
		}
		catch (IOException ex) {
			this.closedByCaller = true;
		}
		return this.closedByCaller;
	}

	private boolean isReadAheadFull() {
		return this.readAhead.remaining() == this.readAhead.capacity();
	}

	// Returns false if more bytes have to stay with the caller.
	private boolean extendReadAhead() {
		int capacity = this.readAhead.capacity();
		int newCapacity = Math.min(MAXIMUM_READ_AHEAD_BYTES, 2 * capacity);
		if (newCapacity == capacity) {
			return false;
		}
		if (this.reservation.tryReserve(newCapacity - capacity)) {
			this.readAhead = BufferUtil.ensureCapacity(this.readAhead, newCapacity);
		}
		else {
			startDiscarding();
		}
		return true;
	}

	// Callers that have left would otherwise occupy upstreams while the budget is used
	// up.
	private void startDiscarding() {
		this.discarding = true;
		this.readAhead = BufferUtil.EMPTY_BUFFER;
		this.reservation.release();
		if (getConnection() instanceof HttpConnection connection) {
			connection.getGenerator().setPersistent(false);
		}
	}

	private boolean readAhead() throws IOException {
		int position = BufferUtil.flipToFill(this.readAhead);
		try {
			return getChannel().read(this.readAhead) < 0;
		}
		finally {
			BufferUtil.flipToFlush(this.readAhead, position);
		}
	}

	private boolean discard() throws IOException {
		ByteBuffer discarded = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
		int readBytes = 1;
		for (int i = 0; i < MAXIMUM_DISCARDING_READS && readBytes > 0; i++) {
			discarded.clear();
			readBytes = getChannel().read(discarded);
		}
		return readBytes < 0;
	}

	@Override
	public synchronized int fill(ByteBuffer buffer) throws IOException {
		if (this.readAhead.hasRemaining()) {
			return BufferUtil.append(buffer, this.readAhead);
		}
		if (this.closedByCaller || this.discarding) {
			return -1;
		}
		return super.fill(buffer);
	}

	@Override
	protected void needsFillInterest() {
		boolean inputAvailable;
		synchronized (this) {
			inputAvailable = this.readAhead.hasRemaining() || this.closedByCaller || this.discarding;
		}
		if (!inputAvailable) {
			super.needsFillInterest();
		}
		else if (!getFillInterest().fillable()) {
			getFillInterest().onFail(new EofException("No fill interest is registered for the connection."));
		}
	}

}
