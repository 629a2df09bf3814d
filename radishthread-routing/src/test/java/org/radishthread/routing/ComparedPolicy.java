package org.radishthread.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToDoubleFunction;

/**
 * The policies for choosing an upstream that {@link RoutingExperiment} compares. Their
 * names appear in its tables.
 */
enum ComparedPolicy {

	/**
	 * Chooses at random.
	 */
	RANDOM {

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return (candidates, context) -> Optional.of(candidates.get(random.nextInt(candidates.size())));
		}

	},

	/**
	 * Chooses the upstream with the fewest requests in flight from the choosing gateway.
	 */
	LEAST_OWN {

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return (candidates, context) -> chooseLeast(shuffle(candidates, random), UpstreamTracker::inFlight);
		}

	},

	/**
	 * Chooses the less loaded of two random upstreams, by requests in flight from the
	 * choosing gateway.
	 */
	TWO_CHOICES {

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return (candidates, context) -> chooseLeast(chooseTwo(candidates, random), UpstreamTracker::inFlight);
		}

	},

	/**
	 * Chooses by requests in flight and the loads reported with responses.
	 */
	ANSWERS {

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return (candidates, context) -> chooseLeast(shuffle(candidates, random), (tracker) -> tracker.inFlight()
					+ reports.decayedLoad(tracker.upstream().name(), context.nowNanos()));
		}

	},

	/**
	 * Chooses by requests in flight and the loads reported with responses and to probes;
	 * avoids upstreams with more than twice the median latency.
	 */
	PROBE_POOL {

		@Override
		boolean sendsProbes() {
			return true;
		}

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return (candidates, context) -> {
				double slowThresholdNanos = context.medianLatencyNanos() * 2;
				Comparator<UpstreamTracker> fastFirst = Comparator
					.comparing((UpstreamTracker tracker) -> slowThresholdNanos > 0
							&& tracker.meanLatencyNanos() > slowThresholdNanos);
				return shuffle(candidates, random).stream()
					.min(fastFirst.thenComparingDouble((tracker) -> tracker.inFlight()
							+ reports.decayedLoad(tracker.upstream().name(), context.nowNanos())));
			};
		}

	},

	/**
	 * Chooses by the requests in flight from all gateways, which exchange their counts.
	 */
	SHARED_COUNTS {

		@Override
		boolean sharesCounts() {
			return true;
		}

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return (candidates, context) -> chooseLeast(shuffle(candidates, random),
					(tracker) -> tracker.inFlight() + reports.totalInFlight(tracker.upstream().name()));
		}

	},

	/**
	 * Routes all requests at the home of the service, without hedges.
	 */
	HOME_WITHOUT_HEDGE {

		@Override
		boolean routesAtHome() {
			return true;
		}

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return new EarliestCompletionPolicy();
		}

	},

	/**
	 * Routes all requests at the home of the service, with hedges.
	 */
	HOME {

		@Override
		boolean routesAtHome() {
			return true;
		}

		@Override
		boolean sendsHedges() {
			return true;
		}

		@Override
		SelectionPolicy create(UpstreamReports reports, Random random) {
			return new EarliestCompletionPolicy();
		}

	};

	abstract SelectionPolicy create(UpstreamReports reports, Random random);

	boolean routesAtHome() {
		return false;
	}

	boolean sendsHedges() {
		return false;
	}

	boolean sendsProbes() {
		return false;
	}

	boolean sharesCounts() {
		return false;
	}

	private static Optional<UpstreamTracker> chooseLeast(List<UpstreamTracker> trackers,
			ToDoubleFunction<UpstreamTracker> loadMeasure) {
		return trackers.stream().min(Comparator.comparingDouble(loadMeasure));
	}

	private static List<UpstreamTracker> shuffle(List<UpstreamTracker> trackers, Random random) {
		List<UpstreamTracker> shuffled = new ArrayList<>(trackers);
		java.util.Collections.shuffle(shuffled, random);
		return shuffled;
	}

	private static List<UpstreamTracker> chooseTwo(List<UpstreamTracker> trackers, Random random) {
		return shuffle(trackers, random).subList(0, Math.min(2, trackers.size()));
	}

	/**
	 * The loads of the upstreams that one gateway has received: reports of the upstreams
	 * and counts of the other gateways.
	 */
	static final class UpstreamReports {

		private static final double REPORT_DECAY_NANOS = 20_000_000;

		private final Map<String, Integer> reportedLoads = new HashMap<>();

		private final Map<String, Long> reportTimesNanos = new HashMap<>();

		private final Map<String, Map<Integer, Integer>> inFlightByGateway = new HashMap<>();

		void recordLoad(String upstream, int load, long nowNanos) {
			this.reportedLoads.put(upstream, load);
			this.reportTimesNanos.put(upstream, nowNanos);
		}

		void recordInFlight(int gateway, String upstream, int inFlight) {
			this.inFlightByGateway.computeIfAbsent(upstream, (name) -> new HashMap<>()).put(gateway, inFlight);
		}

		double decayedLoad(String upstream, long nowNanos) {
			Integer load = this.reportedLoads.get(upstream);
			if (load == null) {
				return 0;
			}
			return load * Math.exp(-(nowNanos - this.reportTimesNanos.get(upstream)) / REPORT_DECAY_NANOS);
		}

		double totalInFlight(String upstream) {
			return this.inFlightByGateway.getOrDefault(upstream, Map.of())
				.values()
				.stream()
				.mapToInt((count) -> count)
				.sum();
		}

	}

}
