package org.radishthread.routing;

/**
 * Finds out whether the upstreams of a service slow down when nearly all of their slots
 * are in use, so that the last slots cost more than they bring. It compares the time of
 * attempts that began at a crowded upstream with that of the others.
 */
final class ContentionEstimate {

	/**
	 * The share of the slots up to which an upstream does not count as crowded.
	 */
	static final double CALM_SHARE = 0.8;

	/**
	 * The attempts of each sort that are seen before the comparison counts.
	 */
	static final int TRUSTED_SAMPLES = 60;

	private static final double WEIGHT = 0.03;

	// One of so many requests tries whether crowding still costs that much.
	private static final int TRIAL_INTERVAL = 40;

	private double calmNanos;

	private double crowdedNanos;

	private int calmSamples;

	private int crowdedSamples;

	private int untried;

	static int calmSlots(int slots) {
		return Math.max(1, (int) (slots * CALM_SHARE));
	}

	void finished(int inFlightAtStart, int slots, double normalizedNanos) {
		if (inFlightAtStart <= calmSlots(slots)) {
			this.calmSamples++;
			this.calmNanos += weight(this.calmSamples) * (normalizedNanos - this.calmNanos);
		}
		else {
			this.crowdedSamples++;
			this.crowdedNanos += weight(this.crowdedSamples) * (normalizedNanos - this.crowdedNanos);
		}
	}

	private static double weight(int samples) {
		return Math.max(WEIGHT, 1.0 / samples);
	}

	// How much longer work takes at a crowded upstream.
	double factor() {
		boolean known = this.calmSamples >= TRUSTED_SAMPLES && this.crowdedSamples >= TRUSTED_SAMPLES;
		return known ? Math.max(1, this.crowdedNanos / this.calmNanos) : 1;
	}

	// The time that an attempt takes at the usual pace of an upstream that
	// is not crowded.
	double typicalNanos(double unknown) {
		return (this.calmSamples > 0) ? this.calmNanos : unknown;
	}

	// Returns whether requests should rather wait than crowd an upstream.
	boolean costsMoreThanItBrings(int slots) {
		return factor() > (double) slots / calmSlots(slots);
	}

	boolean isTrialDue() {
		this.untried++;
		if (this.untried < TRIAL_INTERVAL) {
			return false;
		}
		this.untried = 0;
		return true;
	}

}
