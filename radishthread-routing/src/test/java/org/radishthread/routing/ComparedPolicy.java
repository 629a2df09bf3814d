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
 * The ways of choosing an upstream that are compared.
 */
enum ComparedPolicy {

	RANDOM {

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return (free, context) -> Optional.of(free.get(random.nextInt(free.size())));
		}

	},

	LEAST_OWN {

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return (free, context) -> least(shuffled(free, random), UpstreamTracker::inFlight);
		}

	},

	TWO_CHOICES {

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return (free, context) -> least(two(free, random), UpstreamTracker::inFlight);
		}

	},

	ANSWERS {

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return (free, context) -> least(shuffled(free, random),
					(load) -> load.inFlight() + knowledge.reported(load.upstream().name(), context.nowNanos()));
		}

	},

	PROBE_POOL {

		@Override
		boolean probes() {
			return true;
		}

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return (free, context) -> {
				double hot = context.medianLatencyNanos() * 2;
				Comparator<UpstreamTracker> byHeat = Comparator
					.comparing((UpstreamTracker load) -> hot > 0 && load.latencyNanos() > hot);
				return shuffled(free, random).stream()
					.min(byHeat.thenComparingDouble((load) -> load.inFlight()
							+ knowledge.reported(load.upstream().name(), context.nowNanos())));
			};
		}

	},

	SHARED_COUNTS {

		@Override
		boolean shares() {
			return true;
		}

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return (free, context) -> least(shuffled(free, random),
					(load) -> load.inFlight() + knowledge.shared(load.upstream().name()));
		}

	},

	HOME_WITHOUT_HEDGE {

		@Override
		boolean isHome() {
			return true;
		}

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return new EarliestCompletionPolicy();
		}

	},

	HOME {

		@Override
		boolean isHome() {
			return true;
		}

		@Override
		boolean hedges() {
			return true;
		}

		@Override
		SelectionPolicy create(Knowledge knowledge, Random random) {
			return new EarliestCompletionPolicy();
		}

	};

	abstract SelectionPolicy create(Knowledge knowledge, Random random);

	boolean isHome() {
		return false;
	}

	boolean hedges() {
		return false;
	}

	boolean probes() {
		return false;
	}

	boolean shares() {
		return false;
	}

	private static Optional<UpstreamTracker> least(List<UpstreamTracker> loads,
			ToDoubleFunction<UpstreamTracker> measure) {
		return loads.stream().min(Comparator.comparingDouble(measure));
	}

	private static List<UpstreamTracker> shuffled(List<UpstreamTracker> loads, Random random) {
		List<UpstreamTracker> shuffled = new ArrayList<>(loads);
		java.util.Collections.shuffle(shuffled, random);
		return shuffled;
	}

	private static List<UpstreamTracker> two(List<UpstreamTracker> loads, Random random) {
		return shuffled(loads, random).subList(0, Math.min(2, loads.size()));
	}

	/**
	 * What one gateway learned of the upstreams.
	 */
	static final class Knowledge {

		private static final double FADE_NANOS = 20_000_000;

		private final Map<String, Integer> loads = new HashMap<>();

		private final Map<String, Long> learned = new HashMap<>();

		private final Map<String, Map<Integer, Integer>> othersInFlight = new HashMap<>();

		void report(String upstream, int load, long now) {
			this.loads.put(upstream, load);
			this.learned.put(upstream, now);
		}

		void share(int gateway, String upstream, int inFlight) {
			this.othersInFlight.computeIfAbsent(upstream, (name) -> new HashMap<>()).put(gateway, inFlight);
		}

		double reported(String upstream, long now) {
			Integer load = this.loads.get(upstream);
			if (load == null) {
				return 0;
			}
			return load * Math.exp(-(now - this.learned.get(upstream)) / FADE_NANOS);
		}

		double shared(String upstream) {
			return this.othersInFlight.getOrDefault(upstream, Map.of()).values().stream().mapToInt((it) -> it).sum();
		}

	}

}
