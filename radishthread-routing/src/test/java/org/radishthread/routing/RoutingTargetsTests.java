package org.radishthread.routing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.radishthread.routing.ExperimentCase.Disturbance;
import org.radishthread.routing.ExperimentCase.Site;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the latency of routing at the home of a service against its targets, in virtual
 * time. Hedges are disabled, because the simulation draws another service time for a
 * hedge, which makes the latencies look better than they are.
 */
class RoutingTargetsTests {

	private static final double UTILIZATION = 0.8;

	private static final long DURATION_SECONDS = 12;

	private static final long SEED = 11;

	// The limits of the latencies are relative to the lower bound of any policy.
	private static final double MAXIMUM_STEADY_P99_RATIO = 1.15;

	private static final double MAXIMUM_STRAGGLER_P99_RATIO = 1.3;

	private static final double MAXIMUM_P999_RATIO = 1.5;

	private static final int MAXIMUM_MESSAGES_PER_THOUSAND_REQUESTS = 100;

	@ParameterizedTest
	@EnumSource(Site.class)
	void latencyTargetsHoldUnderSteadyLoad(Site site) {
		assertWithinTargets(ExperimentCase.of(site, UTILIZATION, Disturbance.NONE), MAXIMUM_STEADY_P99_RATIO);
	}

	@ParameterizedTest
	@EnumSource(Site.class)
	void latencyTargetsHoldWithOneStraggler(Site site) {
		assertWithinTargets(ExperimentCase.of(site, UTILIZATION, Disturbance.STRAGGLER), MAXIMUM_STRAGGLER_P99_RATIO);
	}

	private static void assertWithinTargets(ExperimentCase experiment, double maximumP99Ratio) {
		ExperimentResult lowerBound = new RoutingExperiment(experiment, ComparedPolicy.RANDOM, DURATION_SECONDS, SEED)
			.runLowerBound();
		ExperimentResult result = new RoutingExperiment(experiment, ComparedPolicy.HOME_WITHOUT_HEDGE, DURATION_SECONDS,
				SEED)
			.run();
		assertThat(result.latencyRatio(lowerBound, 99)).as("p99").isLessThanOrEqualTo(maximumP99Ratio);
		assertThat(result.latencyRatio(lowerBound, 99.9)).as("p99.9").isLessThanOrEqualTo(MAXIMUM_P999_RATIO);
		assertThat(result.messages() * 1_000)
			.isLessThanOrEqualTo(MAXIMUM_MESSAGES_PER_THOUSAND_REQUESTS * result.servedRequests());
		assertThat(result.failedRequests()).as("failed requests").isZero();
	}

}
