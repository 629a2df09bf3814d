package org.radishthread.routing;

/**
 * Estimates the contention at the upstreams of a service: how much longer requests take
 * when nearly all slots of an upstream are in use, and whether using the last slots
 * lowers its throughput. Compares attempts that began with more concurrent requests than
 * the uncontended slots of their upstream with all others.
 */
final class ContentionEstimate {

	/**
	 * The share of the slots of an upstream that can be in use without contention.
	 */
	static final double UNCONTENDED_SHARE = 0.8;

	/**
	 * The number of samples that are needed for an estimate, both with contention and
	 * without.
	 */
	static final int REQUIRED_SAMPLES = 60;

	private static final double MINIMUM_SAMPLE_WEIGHT = 0.03;

	// Of this number of free contended slots that are considered for a request, one is
	// used to keep the estimate current, although that seems to lower the throughput.
	private static final int TRIAL_INTERVAL_SLOTS = 40;

	private double uncontendedNanos;

	private double contendedNanos;

	private int uncontendedSamples;

	private int contendedSamples;

	private int slotsSinceTrial;

	static int uncontendedSlots(int slots) {
		return Math.max(1, (int) (slots * UNCONTENDED_SHARE));
	}

	// Records the duration of a successful attempt, converted to the usual pace
	// of its upstream.
	void recordAttempt(int inFlightAtStart, int slots, double normalizedNanos) {
		if (inFlightAtStart <= uncontendedSlots(slots)) {
			this.uncontendedSamples++;
			this.uncontendedNanos += sampleWeight(this.uncontendedSamples) * (normalizedNanos - this.uncontendedNanos);
		}
		else {
			this.contendedSamples++;
			this.contendedNanos += sampleWeight(this.contendedSamples) * (normalizedNanos - this.contendedNanos);
		}
	}

	private static double sampleWeight(int samples) {
		return Math.max(MINIMUM_SAMPLE_WEIGHT, 1.0 / samples);
	}

	// The factor by which requests take longer under contention, at least 1.
	double slowdownFactor() {
		boolean hasEnoughSamples = this.uncontendedSamples >= REQUIRED_SAMPLES
				&& this.contendedSamples >= REQUIRED_SAMPLES;
		return hasEnoughSamples ? Math.max(1, this.contendedNanos / this.uncontendedNanos) : 1;
	}

	// The mean duration of an attempt without contention at the usual pace, or
	// the default before any was recorded.
	double uncontendedNanosOr(double defaultNanos) {
		return (this.uncontendedSamples > 0) ? this.uncontendedNanos : defaultNanos;
	}

	// Returns whether an upstream completes fewer requests with all slots in use
	// than with only the uncontended ones.
	boolean reducesThroughput(int slots) {
		return slowdownFactor() > (double) slots / uncontendedSlots(slots);
	}

	// Returns whether the contended slot that is being considered is used as a trial.
	boolean tryStartTrial() {
		this.slotsSinceTrial++;
		if (this.slotsSinceTrial < TRIAL_INTERVAL_SLOTS) {
			return false;
		}
		this.slotsSinceTrial = 0;
		return true;
	}

}
