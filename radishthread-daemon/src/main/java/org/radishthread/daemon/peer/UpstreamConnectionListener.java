package org.radishthread.daemon.peer;

/**
 * Receives the results of the connections to upstreams that this instance opens, for its
 * own attempts and as a relay. Methods are called by the threads that open connections
 * and must not block.
 */
public interface UpstreamConnectionListener {

	/**
	 * Listener that does nothing and lets all connections be opened.
	 */
	UpstreamConnectionListener NONE = new UpstreamConnectionListener() {

		@Override
		public boolean mayRelay(String address) {
			return true;
		}

		@Override
		public void connectionCompleted(String address, boolean opened) {
		}

	};

	/**
	 * Returns whether this instance can be expected to connect a peer to an upstream.
	 * @param address the address of the upstream
	 * @return {@code false} if it is known that it can't
	 */
	boolean mayRelay(String address);

	/**
	 * Called when an attempt to open a connection ended.
	 * @param address the address of the upstream, or of another instance
	 * @param opened whether the connection was opened
	 */
	void connectionCompleted(String address, boolean opened);

}
