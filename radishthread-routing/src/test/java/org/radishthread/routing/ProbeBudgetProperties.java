package org.radishthread.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Holds the sum of all instances to the measuring budget through joins, losses and
 * restarts, at any rate of requests.
 */
class ProbeBudgetProperties {

	private static final long STEP_NANOS = 1_000_000;

	private static final int STEPS = 40_000;

	@Property(tries = 60, seed = "5", shrinking = ShrinkingMode.OFF)
	void sumStaysWithinTheBudget(@ForAll @IntRange(min = 0, max = 200) int probesPerSecond,
			@ForAll @IntRange(min = 1, max = 20) int maximumInstances, @ForAll long seed) {
		Random random = new Random(seed);
		List<ProbeBudget> instances = new ArrayList<>();
		List<Long> probes = new ArrayList<>();
		for (int step = 0; step < STEPS; step++) {
			long now = step * STEP_NANOS;
			if (random.nextInt(2_000) == 0 && instances.size() < maximumInstances) {
				instances.add(new ProbeBudget(probesPerSecond, maximumInstances, now));
			}
			if (random.nextInt(5_000) == 0 && !instances.isEmpty()) {
				// A replaced instance starts with a share of its own.
				instances.set(random.nextInt(instances.size()),
						new ProbeBudget(probesPerSecond, maximumInstances, now));
			}
			for (ProbeBudget budget : instances) {
				if (random.nextInt(3) > 0 && budget.tryAcquire(now)) {
					probes.add(now);
				}
			}
		}
		assertThat(mostInWindow(probes))
			.isLessThanOrEqualTo(probesPerSecond * ProbeBudget.WINDOW_NANOS / 1_000_000_000L);
	}

	private static long mostInWindow(List<Long> probes) {
		int most = 0;
		int first = 0;
		for (int last = 0; last < probes.size(); last++) {
			while (probes.get(first) <= probes.get(last) - ProbeBudget.WINDOW_NANOS) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

}
