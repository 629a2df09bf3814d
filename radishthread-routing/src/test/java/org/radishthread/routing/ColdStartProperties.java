package org.radishthread.routing;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for the requests to cold upstreams, over all instances: while the home
 * changes, restarts or cannot be reached, and when an upstream becomes cold again.
 */
class ColdStartProperties {

	private static final long DURATION_MILLIS = 10_000;

	@Property(tries = 40)
	void instancesTogetherKeepTheLimit(@ForAll @IntRange(min = 2, max = 12) int gatewayCount,
			@ForAll @IntRange(min = 2, max = 9) int upstreamCount, @ForAll @IntRange(min = 5, max = 120) int load,
			@ForAll @IntRange(min = 0, max = 8) int homeChanges, @ForAll boolean withoutHomeAtTimes,
			@ForAll long seed) {
		ColdStartSimulation simulation = new ColdStartSimulation(gatewayCount, upstreamCount, ColdStartSimulation.RATE,
				seed);
		Random random = new Random(seed);
		simulation.maximumLagMillis = 150;
		simulation.maximumTransferMillis = 40;
		simulation.shareWithoutHome = withoutHomeAtTimes ? 0.1 : 0;
		simulation.sendEvenly(0, DURATION_MILLIS, load);
		for (int i = 0; i < 2 * upstreamCount; i++) {
			int upstream = i % upstreamCount;
			boolean restarted = random.nextBoolean();
			simulation.at(random.nextInt((int) DURATION_MILLIS),
					() -> simulation.makeCold(upstream, 1_000 + random.nextInt(3_000), restarted));
		}
		for (int i = 0; i < homeChanges; i++) {
			Runnable change = random.nextBoolean() ? simulation::moveHome : simulation::restartHome;
			simulation.at(random.nextInt((int) DURATION_MILLIS), change);
		}
		simulation.runUntil(DURATION_MILLIS);
		assertThat((double) simulation.maximumColdRequestsInASecond()).isLessThanOrEqualTo(
				ColdStartSimulation.RATE * ColdStartSimulation.LIMITS.overage() + ColdStartSimulation.LIMITS.slack());
		assertThat(simulation.servedCount).isPositive();
	}

}
