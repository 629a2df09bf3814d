package org.radishthread.routing.allotment;

import org.junit.jupiter.api.Test;

import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.routing.AllotmentLimits;
import org.radishthread.routing.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the allotment of a workspace under named loads, with 119 gateways.
 */
class AllotmentLoadTests {

	private static final int GATEWAY_COUNT = 119;

	private static final int DURATION_MILLIS = 30_000;

	private static final int WINDOW_MILLIS = 5_000;

	private static AllotmentSimulation simulation(AllotmentTerms terms, double demandPerSecond) {
		AllotmentSimulation simulation = new AllotmentSimulation(GATEWAY_COUNT, AllotmentLimits.DEFAULTS, terms,
				DURATION_MILLIS, 7);
		simulation.demandPerSecond = () -> demandPerSecond;
		return simulation;
	}

	private static AllotmentTerms terms(long revision, double requestsPerSecond, double burst) {
		return AllotmentTerms.newBuilder()
			.setRevision(revision)
			.setRequestsPerSecond(requestsPerSecond)
			.setBurst(burst)
			.build();
	}

	@Test
	void workspaceAtFiveTimesItsAllotmentGetsItAndNoMore() {
		AllotmentTerms terms = terms(1, 40, 80);
		AllotmentSimulation simulation = simulation(terms, 5 * 40);
		simulation.run();
		assertThat((double) simulation.mostInWindow(simulation.ran, 0, DURATION_MILLIS))
			.isLessThanOrEqualTo(AllotmentSimulation.bound(simulation.limits, terms));
		assertThat(AllotmentSimulation.sum(simulation.ran, WINDOW_MILLIS, DURATION_MILLIS))
			.isGreaterThanOrEqualTo((int) (0.9 * 40 * (DURATION_MILLIS - WINDOW_MILLIS) / 1_000));
		assertThat(simulation.refusals).containsOnlyKeys(RefusalReason.ALLOTMENT);
	}

	@Test
	void fewRequestsSpreadOverAllGatewaysAreNotRefused() {
		AllotmentSimulation simulation = simulation(terms(1, 4, 8), 3);
		simulation.run();
		assertThat(simulation.isWithinAllotment()).isTrue();
		assertThat(simulation.refusals).isEmpty();
		assertThat(simulation.messageCount)
			.isLessThanOrEqualTo(3 * AllotmentSimulation.sum(simulation.arrived, 0, DURATION_MILLIS));
	}

	@Test
	void loweredAllotmentBindsUnderLoad() {
		AllotmentSimulation simulation = simulation(terms(1, 60, 60), 150);
		simulation.schedule(10_000, () -> simulation.changeTerms(terms(2, 15, 10), 2_000));
		simulation.run();
		assertThat((double) simulation.mostInWindow(simulation.ran, 12_000 + WINDOW_MILLIS, DURATION_MILLIS))
			.isLessThanOrEqualTo(AllotmentSimulation.bound(simulation.limits, simulation.terms));
	}

	@Test
	void workspaceAtHalfItsAllotmentIsServedWhileItsLenderIsReplacedAfterACrash() {
		AllotmentSimulation simulation = simulation(terms(1, 40, 80), 20);
		simulation.schedule(10_000, () -> simulation.crash(simulation.lender()));
		simulation.run();
		assertThat(simulation.isWithinAllotment()).isTrue();
		assertThat(AllotmentSimulation.sum(simulation.refused, 0, DURATION_MILLIS))
			.isLessThanOrEqualTo(AllotmentSimulation.sum(simulation.arrived, 0, DURATION_MILLIS) / 50);
	}

}
