package org.radishthread.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Backoff;

/**
 * Tells which instances may be asked as homes of services. An instance that did not
 * respond in time is left out until it responds to a probe in time. Probes belong to no
 * request, so that no caller waits for an instance to show that it is still lost: where
 * instances are many, most requests of an instance to one home would be such trials. Not
 * safe for concurrent use; times are monotonic, in milliseconds.
 */
public final class HomeAvailability {

	private static final long MINIMUM_PROBE_INTERVAL_MILLIS = 250;

	private static final long MAXIMUM_PROBE_INTERVAL_MILLIS = 1_000;

	/**
	 * The time after which an instance that does not know probes is asked again.
	 */
	private static final long UNPROBED_MILLIS = 4_000;

	private final long responseTimeoutMillis;

	// Keyed by peer address.
	private final Map<String, Suspicion> suspicions = new HashMap<>();

	private long lastProbeNumber;

	/**
	 * Creates the knowledge that all instances are available.
	 * @param responseTimeoutMillis the time in which a probe must be responded to
	 */
	public HomeAvailability(long responseTimeoutMillis) {
		this.responseTimeoutMillis = responseTimeoutMillis;
	}

	/**
	 * Returns whether an instance is left out.
	 * @param peerAddress the peer address of the instance
	 * @return whether no request is sent to it
	 */
	public boolean isLeftOut(String peerAddress) {
		return this.suspicions.containsKey(peerAddress);
	}

	/**
	 * Records that an instance did not respond in time, or that it grants no slots.
	 * @param peerAddress the peer address of the instance
	 * @param nowMillis the time
	 */
	public void recordSilence(String peerAddress, long nowMillis) {
		this.suspicions.computeIfAbsent(peerAddress, (address) -> new Suspicion(nowMillis));
	}

	/**
	 * Returns the probes to send now, and ends the suspicions that no probe can end.
	 * @param liveInstances by peer address, whether each live instance responds to probes
	 * @param nowMillis the time
	 * @return the probes
	 */
	public List<Probe> takeDueProbes(Map<String, Boolean> liveInstances, long nowMillis) {
		this.suspicions.entrySet()
			.removeIf((entry) -> isOver(entry.getValue(), liveInstances.get(entry.getKey()), nowMillis));
		List<Probe> probes = new ArrayList<>();
		this.suspicions.forEach((address, suspicion) -> {
			if (liveInstances.get(address) && nowMillis >= suspicion.nextProbeMillis) {
				this.lastProbeNumber++;
				suspicion.recordProbe(this.lastProbeNumber, nowMillis);
				probes.add(new Probe(address, this.lastProbeNumber));
			}
		});
		return probes;
	}

	// An instance that is not live is no candidate anyway.
	private static boolean isOver(Suspicion suspicion, @Nullable Boolean respondsToProbes, long nowMillis) {
		return respondsToProbes == null || (!respondsToProbes && nowMillis - suspicion.beginMillis >= UNPROBED_MILLIS);
	}

	/**
	 * Records the response to a probe. If it took too long, so would a request.
	 * @param peerAddress the peer address of the instance
	 * @param number the number of the probe
	 * @param nowMillis the time
	 */
	public void recordProbeResponse(String peerAddress, long number, long nowMillis) {
		Suspicion suspicion = this.suspicions.get(peerAddress);
		if (suspicion != null && number == suspicion.probeNumber
				&& nowMillis - suspicion.probedMillis <= this.responseTimeoutMillis) {
			this.suspicions.remove(peerAddress);
		}
	}

	/**
	 * Returns whether {@link #takeDueProbes} must be called at intervals.
	 * @return whether any instance is left out
	 */
	public boolean needsTick() {
		return !this.suspicions.isEmpty();
	}

	/**
	 * A message by which an instance is asked whether it grants slots.
	 *
	 * @param peerAddress the peer address of the instance
	 * @param number the number of the probe, which the response repeats
	 */
	public record Probe(String peerAddress, long number) {
	}

	/**
	 * State of an instance that did not respond.
	 */
	private static final class Suspicion {

		private final Backoff probeInterval = new Backoff(MINIMUM_PROBE_INTERVAL_MILLIS, MAXIMUM_PROBE_INTERVAL_MILLIS);

		private final long beginMillis;

		private long nextProbeMillis;

		private long probeNumber;

		private long probedMillis;

		private Suspicion(long nowMillis) {
			this.beginMillis = nowMillis;
			this.nextProbeMillis = nowMillis;
		}

		private void recordProbe(long number, long nowMillis) {
			this.probeNumber = number;
			this.probedMillis = nowMillis;
			this.nextProbeMillis = nowMillis + this.probeInterval.nextMillis();
		}

	}

}
