package org.radishthread.daemon.http;

/**
 * Shares of the heap for what callers and upstreams send. They are parts of the heap that
 * remains beside the process itself, so that a small heap leaves room for both.
 */
enum HeapShare {

	/**
	 * Bodies of requests and responses, and requests that are read ahead.
	 */
	BODIES(4),

	/**
	 * Heads and trailers of the requests of one server.
	 */
	HEADS(16),

	/**
	 * Open connections of one server: their objects and buffers, and heads that are not
	 * counted.
	 */
	CONNECTIONS(4);

	// The classes, rules, routers and connections to instances of an idle process.
	private static final long PROCESS_BYTES = 14L * 1_024 * 1_024;

	// For a heap that holds little more than the process itself.
	private static final int MINIMUM_REMAINING_DIVISOR = 4;

	private final int divisor;

	HeapShare(int divisor) {
		this.divisor = divisor;
	}

	/**
	 * Returns the size of this share.
	 * @return the number of bytes
	 */
	long bytes() {
		return bytes(Runtime.getRuntime().maxMemory());
	}

	long bytes(long maximumHeapBytes) {
		long remainingBytes = Math.max(maximumHeapBytes - PROCESS_BYTES, maximumHeapBytes / MINIMUM_REMAINING_DIVISOR);
		return remainingBytes / this.divisor;
	}

}
