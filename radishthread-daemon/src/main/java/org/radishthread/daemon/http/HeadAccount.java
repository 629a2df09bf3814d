package org.radishthread.daemon.http;

import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Counts the memory that the head and the trailers of the current request of one
 * connection take, and reserves it from a {@link BufferBudget} that many connections
 * share. A small head needs no reservation, so that ordinary requests are served while
 * large ones have used up the budget. Counts bytes. Safe for use by several threads.
 */
final class HeadAccount {

	/**
	 * The memory that each connection may use without a reservation, in bytes.
	 */
	static final int UNRESERVED_BYTES = 8 * 1_024;

	// The objects for a field with its name and its value, beside their characters.
	private static final int FIELD_BYTES = 160;

	private final BufferBudget budget;

	private BufferBudget.Reservation reservation;

	private long usedBytes;

	HeadAccount(BufferBudget budget) {
		this.budget = budget;
		this.reservation = budget.newReservation();
	}

	/**
	 * Adds a field of the head or of the trailers.
	 * @param field the field
	 * @throws BadMessageException with status 431 if the budget has no room for it
	 */
	void addField(HttpField field) {
		addBytes(FIELD_BYTES + length(field.getName()) + length(field.getValue()));
	}

	private static int length(String text) {
		return (text != null) ? text.length() : 0;
	}

	/**
	 * Adds bytes that are read and do not make a whole line yet.
	 * @param bytes the number of bytes
	 * @throws BadMessageException with status 431 if the budget has no room for them
	 */
	synchronized void addBytes(long bytes) {
		this.usedBytes += bytes;
		long missingBytes = this.usedBytes - UNRESERVED_BYTES - this.reservation.bytes();
		if (missingBytes > 0 && !this.reservation.tryReserve(missingBytes)) {
			throw new BadMessageException(HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431,
					"Heads of requests use up the memory that this instance has for them; this one needs "
							+ this.usedBytes + " bytes.");
		}
	}

	/**
	 * Returns the memory that is reserved from the budget.
	 * @return the number of bytes
	 */
	synchronized long reservedBytes() {
		return this.reservation.bytes();
	}

	/**
	 * Returns the memory of the current request, which is complete, to the budget.
	 */
	synchronized void clear() {
		this.usedBytes = 0;
		if (this.reservation.bytes() > 0) {
			this.reservation.release();
			this.reservation = this.budget.newReservation();
		}
	}

	/**
	 * Returns all memory to the budget, because the connection is closed.
	 */
	synchronized void close() {
		this.usedBytes = 0;
		this.reservation.release();
	}

}
