package org.radishthread.routing;

import java.util.HashMap;
import java.util.Map;

import org.radishthread.kernel.Backoff;

/**
 * Tells which instances may be asked as homes of services. An instance that did not
 * respond in time is left out for a while; then one request at a time is sent to it as a
 * trial, until it responds or is silent again, after which it is left out for twice as
 * long unless it has responded late. Not safe for concurrent use; times are monotonic, in
 * milliseconds.
 */
public final class HomeAvailability {

	private static final long MINIMUM_SUSPICION_MILLIS = 1_000;

	private static final long MAXIMUM_SUSPICION_MILLIS = 4_000;

	/**
	 * The time after which a trial without a result is repeated: its request may have
	 * been closed by its caller.
	 */
	private static final long TRIAL_MILLIS = 1_000;

	private final Map<String, Suspicion> suspicions = new HashMap<>();

	/**
	 * Returns whether an instance is left out.
	 * @param peerAddress the peer address of the instance
	 * @return whether no request is sent to it, but for trials
	 */
	public boolean isLeftOut(String peerAddress) {
		return this.suspicions.containsKey(peerAddress);
	}

	/**
	 * Returns whether an instance may be asked for a slot now, which counts as a trial if
	 * it was left out.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 * @return whether to send it a request
	 */
	public boolean tryUse(String peerAddress, long nowMillis) {
		Suspicion suspicion = this.suspicions.get(peerAddress);
		if (suspicion == null) {
			return true;
		}
		if (nowMillis < suspicion.nextTrialMillis) {
			return false;
		}
		suspicion.nextTrialMillis = nowMillis + TRIAL_MILLIS;
		suspicion.trialPending = true;
		return true;
	}

	/**
	 * Records that an instance did not respond in time.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 */
	public void recordSilence(String peerAddress, long nowMillis) {
		Suspicion suspicion = this.suspicions.computeIfAbsent(peerAddress, (address) -> new Suspicion());
		// Requests that were sent before the first one was found unanswered tell nothing
		// new.
		if (suspicion.trialPending) {
			suspicion.trialPending = false;
			suspicion.nextTrialMillis = nowMillis + suspicion.duration.nextMillis();
		}
	}

	/**
	 * Records a response of an instance as a home. A response that does not come in time
	 * to a trial does not end the suspicion, but shows that the instance is only slow.
	 * @param peerAddress the peer address of the instance
	 */
	public void recordResponse(String peerAddress) {
		Suspicion suspicion = this.suspicions.get(peerAddress);
		if (suspicion == null) {
			return;
		}
		suspicion.duration.reset();
		if (suspicion.trialPending) {
			this.suspicions.remove(peerAddress);
		}
	}

	/**
	 * State of an instance that did not respond.
	 */
	private static final class Suspicion {

		private final Backoff duration = new Backoff(MINIMUM_SUSPICION_MILLIS, MAXIMUM_SUSPICION_MILLIS);

		// The request that raised the suspicion counts as the first trial.
		private boolean trialPending = true;

		private long nextTrialMillis;

	}

}
