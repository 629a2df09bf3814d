package org.radishthread.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which instances may be asked as homes of services. An instance that did not
 * respond in time is left out for a while. Not safe for concurrent use; times are
 * monotonic, in milliseconds.
 */
public final class HomeAvailability {

	private static final long SUSPICION_MILLIS = 1_000;

	private final Map<String, Long> suspectedUntilMillis = new HashMap<>();

	/**
	 * Returns whether an instance is left out.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 * @return whether no request is sent to it
	 */
	public boolean isLeftOut(String peerAddress, long nowMillis) {
		return this.suspectedUntilMillis.getOrDefault(peerAddress, 0L) > nowMillis;
	}

	/**
	 * Returns whether an instance may be asked for a slot now.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 * @return whether it is not left out
	 */
	public boolean tryUse(String peerAddress, long nowMillis) {
		return !isLeftOut(peerAddress, nowMillis);
	}

	/**
	 * Records that an instance did not respond in time.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 */
	public void recordSilence(String peerAddress, long nowMillis) {
		this.suspectedUntilMillis.put(peerAddress, nowMillis + SUSPICION_MILLIS);
	}

	/**
	 * Records a response of an instance as a home.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 */
	public void recordResponse(String peerAddress, long nowMillis) {
		if (tryUse(peerAddress, nowMillis)) {
			this.suspectedUntilMillis.remove(peerAddress);
		}
	}

}
