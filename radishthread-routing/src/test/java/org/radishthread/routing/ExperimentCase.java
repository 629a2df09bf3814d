package org.radishthread.routing;

/**
 * The parameters of one {@link RoutingExperiment}.
 *
 * @param name the name in the table of results
 * @param site the numbers of gateways, upstreams, slots and zones
 * @param utilization the offered load as a share of all slots
 * @param disturbance the disturbance during the experiment
 * @param maximumReportAgeMillis the age after which upstreams renew the load that they
 * report, in milliseconds
 * @param underreports whether upstreams report a third of their load
 */
record ExperimentCase(String name, Site site, double utilization, Disturbance disturbance, long maximumReportAgeMillis,
		boolean underreports) {

	static ExperimentCase of(Site site, double utilization, Disturbance disturbance) {
		return new ExperimentCase(site + " " + (int) (utilization * 100) + "% " + disturbance, site, utilization,
				disturbance, 5, false);
	}

	/**
	 * The sizes of the sites whose routing is compared.
	 */
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

		final long crossZoneOneWayNanos;

		final long meanServiceNanos;

		Site(int gateways, int upstreams, int slots, int zones, long crossZoneOneWayNanos, long meanServiceNanos) {
			this.gateways = gateways;
			this.upstreams = upstreams;
			this.slots = slots;
			this.zones = zones;
			this.crossZoneOneWayNanos = crossZoneOneWayNanos;
			this.meanServiceNanos = meanServiceNanos;
		}

		int totalSlots() {
			return this.upstreams * this.slots;
		}

	}

	/**
	 * The disturbances of an experiment: a burst of ten times the load, one upstream that
	 * is ten times slower, the restart of an upstream that is slow at first, or one
	 * upstream that fails all requests quickly.
	 */
	enum Disturbance {

		NONE, RUSH, STRAGGLER, COLD_START, FAIL_FAST

	}

}
