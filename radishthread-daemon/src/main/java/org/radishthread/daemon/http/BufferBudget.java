package org.radishthread.daemon.http;

import java.util.concurrent.atomic.AtomicLong;

import org.radishthread.kernel.Assert;

/**
 * Limits the bytes of bodies that this process holds in memory at the same time, over all
 * requests and responses, so that no number of them exhausts the heap. Counts bytes. Safe
 * for use by several threads.
 */
public final class BufferBudget {

	private final long maximumBytes;

	private final AtomicLong reservedBytes = new AtomicLong();

	/**
	 * Creates a budget.
	 * @param maximumBytes the maximum number of bytes that are held at the same time
	 */
	public BufferBudget(long maximumBytes) {
		Assert.isTrue(maximumBytes > 0, "Buffer budget of " + maximumBytes + " bytes must be positive.");
		this.maximumBytes = maximumBytes;
	}

	/**
	 * Creates a budget in proportion to the heap that remains beside the process. While a
	 * body is copied, it exists twice; half of that heap is left to everything else.
	 * @return the budget
	 */
	public static BufferBudget ofHeap() {
		return new BufferBudget(HeapShare.BODIES.bytes());
	}

	/**
	 * Returns the bytes that are held now.
	 * @return the number of bytes
	 */
	public long reservedBytes() {
		return this.reservedBytes.get();
	}

	/**
	 * Creates a reservation without bytes.
	 * @return the reservation, to be released when its bytes are no longer held
	 */
	public Reservation newReservation() {
		return new Reservation();
	}

	private boolean tryReserve(long bytes) {
		if (this.reservedBytes.addAndGet(bytes) <= this.maximumBytes) {
			return true;
		}
		this.reservedBytes.addAndGet(-bytes);
		return false;
	}

	/**
	 * The bytes that are held for one request and its responses. Safe for use by several
	 * threads.
	 */
	public final class Reservation {

		private long bytes;

		private boolean released;

		private Reservation() {
		}

		/**
		 * Adds bytes, if the budget has room for them.
		 * @param additionalBytes the number of bytes
		 * @return whether they may be held; never after {@link #release()}
		 */
		public synchronized boolean tryReserve(long additionalBytes) {
			if (this.released || !BufferBudget.this.tryReserve(additionalBytes)) {
				return false;
			}
			this.bytes += additionalBytes;
			return true;
		}

		/**
		 * Returns the bytes that are held.
		 * @return the number of bytes, zero after {@link #release()}
		 */
		synchronized long bytes() {
			return this.bytes;
		}

		/**
		 * Returns all bytes to the budget. A further call has no effect.
		 */
		public synchronized void release() {
			this.released = true;
			BufferBudget.this.reservedBytes.addAndGet(-this.bytes);
			this.bytes = 0;
		}

	}

}
