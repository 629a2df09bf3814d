package org.radishthread.routing;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.SharedMachineSimulation.Load;
import org.radishthread.routing.SharedMachineSimulation.Tally;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of load on machines that upstreams share with others: a part of the upstreams is
 * four times slower at any moment, drawn anew each 300 ms, and the last slots of an
 * upstream slow the others down.
 */
class SharedMachineTests {

	private static final long SECONDS = 30;

	private static final long SEED = 5;

	private static Tally run(Load load, boolean probed) {
		return new SharedMachineSimulation(load, probed, SEED).run(SECONDS);
	}

	@Nested
	class SteadyLoad {

		// Few requests for each upstream, so that reports on answers are old.
		private final Load rareWrites = new Load(7, 6, 210, 500, 2_500, 28, 1, false, 0.35, 4);

		private final Load reads = new Load(10, 3, 60, 200, 800, 109, 1, true, 0.25, 4);

		@Test
		void rareWritesThatMayNotRepeatFindAFastUpstreamByItsPace() {
			Tally blind = run(this.rareWrites, false);
			Tally probed = run(this.rareWrites, true);
			assertThat(probed.inTimeShare()).isGreaterThan(0.9);
			assertThat(probed.inTimeShare()).isGreaterThan(blind.inTimeShare() + 0.05);
			assertThat(probed.probes).as("probes an upstream and second").isLessThan(7 * 25 * SECONDS);
		}

		@Test
		void readsAreAnsweredInTime() {
			assertThat(run(this.reads, true).inTimeShare()).isGreaterThan(0.95);
		}

	}

	// Slots that crowd an upstream cost more than they bring, and a request that
	// waits at a slow upstream is bound to it.
	@Nested
	class RushOfLongWork {

		private final Load reads = new Load(12, 6, 160, 400, 1_000, 160, 1.6, true, 0.35, 4);

		private final Load writes = new Load(7, 6, 210, 500, 1_200, 75, 1.6, false, 0.35, 4);

		private final Load nearlyAllSlots = new Load(12, 6, 160, 400, 2_000, 130, 1.5, true, 0.35, 4);

		@Test
		void readsAreServedByUpstreamsThatAreNeitherSlowNorCrowded() {
			Tally tally = run(this.reads, true);
			assertThat(tally.servedShare()).isGreaterThan(0.85);
			assertThat(tally.inTimeShare()).isGreaterThan(0.55);
			assertThat(tally.givenUp).as("sent and not answered").isLessThan(tally.asked / 20);
		}

		@Test
		void writesThatMayNotRepeatAreSentOnlyWhereTheyCanBeAnswered() {
			Tally tally = run(this.writes, true);
			assertThat(tally.servedShare()).isGreaterThan(0.85);
			assertThat(tally.inTimeShare()).isGreaterThan(0.6);
			assertThat(tally.givenUp).as("sent and not answered").isLessThan(tally.asked / 20);
		}

		@Test
		void loadBelowTheLimitIsAnsweredInTime() {
			assertThat(run(this.nearlyAllSlots, true).inTimeShare()).isGreaterThan(0.85);
		}

	}

	// All upstreams refuse more than half of what they could run.
	@Nested
	class FalseShedding {

		private final Load reads = new Load(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55, AttemptResult.SHED);

		private final Load writes = new Load(8, 3, 78, 250, 1_000, 60, 1, false, 0.25, 4, 0.55, AttemptResult.SHED);

		@Test
		void refusedRequestsAreSentToAnotherUpstreamWithinTheBudget() {
			assertThat(run(this.reads, true).inTimeShare()).isGreaterThan(0.8);
			assertThat(run(this.writes, true).inTimeShare()).isGreaterThan(0.8);
		}

	}

	// All upstreams fail more than half of their requests; none is
	// better than another.
	@Nested
	class CommonFailure {

		private final Load reads = new Load(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55, AttemptResult.FAILURE);

		private final Load writes = new Load(8, 3, 78, 250, 1_000, 53, 1, false, 0.25, 4, 0.55, AttemptResult.FAILURE);

		@Test
		void upstreamsStayInUse() {
			assertThat(run(this.reads, true).inTimeShare()).isGreaterThan(0.8);
			assertThat(run(this.writes, true).inTimeShare()).isGreaterThan(0.75);
		}

	}

	@Nested
	class Rush {

		// For three of nine seconds more arrives than all slots can serve.
		private final Load rush = new Load(10, 3, 60, 200, 800, 150, 2.2, true, 0.25, 4);

		@Test
		void mostAreServedAndWhatCanNotBeIsRefusedBeforeItsDeadline() {
			Tally tally = run(this.rush, true);
			assertThat(tally.servedShare()).isGreaterThan(0.75);
			assertThat(tally.inTimeShare()).isGreaterThan(0.6);
			assertThat(tally.refusedWaitMillis).allMatch((waited) -> waited < 800);
			assertThat(tally.refusedWaitMillis.stream().filter((waited) -> waited < 200).count())
				.as("refused within the objective")
				.isGreaterThan(tally.refusedWaitMillis.size() / 2);
		}

	}

}
