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
 * Property tests for {@link ProbeBudget}: all instances together stay within the budget
 * while instances join and restart and probe at varying rates.
 */
class ProbeBudgetProperties {

	private static final long STEP_NANOS = 1_000_000;

	private static final int STEPS = 40_000;

	@Property(tries = 60, seed = "5", shrinking = ShrinkingMode.OFF)
	void allInstancesTogetherStayWithinTheBudget(@ForAll @IntRange(min = 0, max = 200) int probesPerSecond,
			@ForAll @IntRange(min = 1, max = 20) int maximumInstances, @ForAll long seed) {
		Random random = new Random(seed);
		List<ProbeBudget> budgets = new ArrayList<>();
		List<Long> probeTimesNanos = new ArrayList<>();
		for (int step = 0; step < STEPS; step++) {
			long nowNanos = step * STEP_NANOS;
			if (random.nextInt(2_000) == 0 && budgets.size() < maximumInstances) {
				budgets.add(new ProbeBudget(probesPerSecond, maximumInstances, nowNanos));
			}
			if (random.nextInt(5_000) == 0 && !budgets.isEmpty()) {
				// A restarted instance begins with a new share.
				budgets.set(random.nextInt(budgets.size()),
						new ProbeBudget(probesPerSecond, maximumInstances, nowNanos));
			}
			for (ProbeBudget budget : budgets) {
				if (random.nextInt(3) > 0 && budget.tryAcquire(nowNanos)) {
					probeTimesNanos.add(nowNanos);
				}
			}
		}
		assertThat(maximumInWindow(probeTimesNanos))
			.isLessThanOrEqualTo(probesPerSecond * ProbeBudget.WINDOW_NANOS / 1_000_000_000L);
	}

	private static long maximumInWindow(List<Long> probeTimesNanos) {
		int maximum = 0;
		int windowStart = 0;
		for (int windowEnd = 0; windowEnd < probeTimesNanos.size(); windowEnd++) {
			while (probeTimesNanos.get(windowStart) <= probeTimesNanos.get(windowEnd) - ProbeBudget.WINDOW_NANOS) {
				windowStart++;
			}
			maximum = Math.max(maximum, windowEnd - windowStart + 1);
		}
		return maximum;
	}

}
