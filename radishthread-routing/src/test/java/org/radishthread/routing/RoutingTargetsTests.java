package org.radishthread.routing;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.radishthread.routing.ExperimentCase.Disturbance;
import org.radishthread.routing.ExperimentCase.Site;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Holds the chosen way of routing to its targets, in virtual time, without hedges, whose
 * second service time would flatter the figures.
 */
class RoutingTargetsTests {

	private static final double LOAD = 0.8;

	private static final long SECONDS = 12;

	private static final long SEED = 11;

	private static final double STEADY_P99 = 1.15;

	private static final double STRAGGLER_P99 = 1.3;

	private static final double P999 = 1.5;

	private static final int MESSAGES_PER_THOUSAND = 100;

	@ParameterizedTest
	@EnumSource(Site.class)
	void steadyLoad(Site site) {
		hold(ExperimentCase.of(site, LOAD, Disturbance.NONE), STEADY_P99);
	}

	@ParameterizedTest
	@EnumSource(Site.class)
	void oneStraggler(Site site) {
		hold(ExperimentCase.of(site, LOAD, Disturbance.STRAGGLER), STRAGGLER_P99);
	}

	private static void hold(ExperimentCase experiment, double p99) {
		ExperimentResult bound = new RoutingExperiment(experiment, ComparedPolicy.RANDOM, SECONDS, SEED).bound();
		ExperimentResult result = new RoutingExperiment(experiment, ComparedPolicy.HOME_WITHOUT_HEDGE, SECONDS, SEED)
			.run();
		assertThat(result.ratio(bound, 99)).as("p99").isLessThanOrEqualTo(p99);
		assertThat(result.ratio(bound, 99.9)).as("p99.9").isLessThanOrEqualTo(P999);
		assertThat(result.messages() * 1_000).isLessThanOrEqualTo(MESSAGES_PER_THOUSAND * result.served());
		assertThat(result.failed()).as("failed calls").isZero();
	}

}
