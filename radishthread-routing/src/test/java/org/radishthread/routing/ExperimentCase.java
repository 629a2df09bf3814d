package org.radishthread.routing;

/**
 * What one experiment is about.
 *
 * @param name the name of the case
 * @param site the sizes
 * @param load the load as a share of all slots
 * @param disturbance what goes wrong
 * @param staleMillis the age of load reports, in milliseconds
 * @param lies whether load reports are too low
 */
record ExperimentCase(String name, Site site, double load, Disturbance disturbance, long staleMillis, boolean lies) {

	static ExperimentCase of(Site site, double load, Disturbance disturbance) {
		return new ExperimentCase(site + " " + (int) (load * 100) + "% " + disturbance, site, load, disturbance, 5,
				false);
	}

	enum Site {

		/**
		 * Fourteen gateways, ten upstreams with three slots, four zones.
		 */
		BRAZOS(14, 10, 3, 4, 1_000_000, 10_000_000),

		/**
		 * Sixteen gateways, twelve upstreams with six slots, three zones.
		 */
		STOYNOV(16, 12, 6, 3, 1_500_000, 20_000_000),

		/**
		 * Fourteen gateways, six upstreams with six slots, three zones.
		 */
		STOYNOV_INTAKE(14, 6, 6, 3, 1_500_000, 20_000_000);

		final int gateways;

		final int upstreams;

		final int slots;

		final int zones;

		final long zoneNanos;

		final long serviceNanos;

		Site(int gateways, int upstreams, int slots, int zones, long zoneNanos, long serviceNanos) {
			this.gateways = gateways;
			this.upstreams = upstreams;
			this.slots = slots;
			this.zones = zones;
			this.zoneNanos = zoneNanos;
			this.serviceNanos = serviceNanos;
		}

		int allSlots() {
			return this.upstreams * this.slots;
		}

	}

	enum Disturbance {

		NONE, RUSH, STRAGGLER, COLD_START, FAIL_FAST

	}

}
