package org.radishthread.routing;

import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.SharedMachineSimulation.Counts;
import org.radishthread.routing.SharedMachineSimulation.PaceChanges;
import org.radishthread.routing.SharedMachineSimulation.Workload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceRouter} with upstreams on shared machines: every 300 ms another
 * part of the upstreams becomes four times slower, and requests that begin when an
 * upstream is nearly full take longer.
 */
class SharedMachineTests {

	private static final long DURATION_SECONDS = 30;

	private static final long SEED = 5;

	private static Counts run(Workload workload, boolean paceProbesEnabled) {
		return new SharedMachineSimulation(workload, paceProbesEnabled, SEED).run(DURATION_SECONDS);
	}

	@Nested
	class SteadyLoad {

		// With so few requests per upstream, the load reports in
		// responses are outdated.
		private final Workload infrequentWrites = new Workload(7, 6, 210, 500, 2_500, 28, 1, false, 0.35, 4);

		private final Workload reads = new Workload(10, 3, 60, 200, 800, 109, 1, true, 0.25, 4);

		@Test
		void paceProbesFindFastUpstreamsForInfrequentWrites() {
			Counts withoutProbes = run(this.infrequentWrites, false);
			Counts withProbes = run(this.infrequentWrites, true);
			assertThat(withProbes.withinObjectiveShare()).isGreaterThan(0.9);
			assertThat(withProbes.withinObjectiveShare()).isGreaterThan(withoutProbes.withinObjectiveShare() + 0.05);
			assertThat(withProbes.paceProbes).as("pace probes").isLessThan(7 * 25 * DURATION_SECONDS);
		}

		@Test
		void readsMeetTheirObjective() {
			assertThat(run(this.reads, true).withinObjectiveShare()).isGreaterThan(0.95);
		}

	}

	@Nested
	class IndependentPaceChanges {

		private static final double PACE_PROBES_PER_SECOND = 79;

		private static final int SEEDS = 20;

		private final Workload reads = new Workload(18, 6, 410, 1_000, 6_000, 45, 1.5, true, 0.42, 4);

		// At the usual pace, these take half of all slots during a burst.
		private final Workload manyReads = new Workload(25, 6, 410, 1_000, 6_000, 140, 1.3, true, 0.42, 4);

		private double meanOf(Workload workload, ToDoubleFunction<Counts> share) {
			RouterSettings settings = new RouterSettings("zone-0", 1, new RetryLimits(0.2, 21, 10),
					PACE_PROBES_PER_SECOND);
			return LongStream.rangeClosed(1, SEEDS)
				.mapToObj(
						(seed) -> new SharedMachineSimulation(workload, true, settings, PaceChanges.INDEPENDENT, seed))
				.mapToDouble((simulation) -> share.applyAsDouble(simulation.run(DURATION_SECONDS)))
				.average()
				.orElseThrow();
		}

		// Guards against requests that are sent where the pace is known from an outdated
		// report, and against hedges that are sent when they can't be in time any more.
		@Test
		void longReadsMeetTheirObjective() {
			assertThat(meanOf(this.reads, Counts::withinObjectiveShare)).isGreaterThan(0.95);
		}

		// Guards against a service that does not recover from a burst, because requests
		// begin at slow upstreams and occupy their slots for four times as long.
		@Test
		void serviceRecoversFromABurstOfLongReads() {
			assertThat(meanOf(this.manyReads, Counts::servedShare)).isGreaterThan(0.85);
			assertThat(meanOf(this.manyReads, Counts::withinObjectiveShare)).isGreaterThan(0.55);
		}

	}

	// Using the contended slots lowers the throughput, and a request that waits at a
	// slow upstream cannot move to another one.
	@Nested
	class BurstOfSlowRequests {

		private final Workload reads = new Workload(12, 6, 160, 400, 1_000, 160, 1.6, true, 0.35, 4);

		private final Workload writes = new Workload(7, 6, 210, 500, 1_200, 75, 1.6, false, 0.35, 4);

		private final Workload nearlyFullLoad = new Workload(12, 6, 160, 400, 2_000, 130, 1.5, true, 0.35, 4);

		@Test
		void mostReadsAreServedAndFewTimeOut() {
			Counts counts = run(this.reads, true);
			assertThat(counts.servedShare()).isGreaterThan(0.85);
			assertThat(counts.withinObjectiveShare()).isGreaterThan(0.55);
			assertThat(counts.timeouts).as("requests without a response at their deadline")
				.isLessThan(counts.requests / 20);
		}

		@Test
		void mostWritesAreServedAndFewTimeOut() {
			Counts counts = run(this.writes, true);
			assertThat(counts.servedShare()).isGreaterThan(0.85);
			assertThat(counts.withinObjectiveShare()).isGreaterThan(0.6);
			assertThat(counts.timeouts).as("requests without a response at their deadline")
				.isLessThan(counts.requests / 20);
		}

		@Test
		void mostRequestsMeetTheirObjectiveUnderNearlyFullLoad() {
			assertThat(run(this.nearlyFullLoad, true).withinObjectiveShare()).isGreaterThan(0.85);
		}

	}

	// In three of nine seconds, all upstreams shed more than half of the requests
	// although they have free slots.
	@Nested
	class SheddingByAllUpstreams {

		private final Workload reads = new Workload(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55,
				AttemptResult.SHED);

		private final Workload writes = new Workload(8, 3, 78, 250, 1_000, 60, 1, false, 0.25, 4, 0.55,
				AttemptResult.SHED);

		@Test
		void shedRequestsAreRetriedWithinTheRetryBudget() {
			assertThat(run(this.reads, true).withinObjectiveShare()).isGreaterThan(0.8);
			assertThat(run(this.writes, true).withinObjectiveShare()).isGreaterThan(0.8);
		}

	}

	// In three of nine seconds, all upstreams fail more than half of their requests,
	// so ejecting some of them would only overload the others.
	@Nested
	class FailuresOfAllUpstreams {

		private final Workload reads = new Workload(12, 6, 160, 400, 1_000, 100, 1, true, 0.35, 4, 0.55,
				AttemptResult.FAILURE);

		private final Workload writes = new Workload(8, 3, 78, 250, 1_000, 53, 1, false, 0.25, 4, 0.55,
				AttemptResult.FAILURE);

		@Test
		void upstreamsStayInUseWhenAllFail() {
			assertThat(run(this.reads, true).withinObjectiveShare()).isGreaterThan(0.8);
			assertThat(run(this.writes, true).withinObjectiveShare()).isGreaterThan(0.75);
		}

	}

	@Nested
	class Burst {

		// In three of nine seconds, more requests arrive than all
		// slots can serve.
		private final Workload burst = new Workload(10, 3, 60, 200, 800, 150, 2.2, true, 0.25, 4);

		@Test
		void mostRequestsAreServedAndTheOthersRefusedBeforeTheirDeadlines() {
			Counts counts = run(this.burst, true);
			assertThat(counts.servedShare()).isGreaterThan(0.75);
			assertThat(counts.withinObjectiveShare()).isGreaterThan(0.6);
			assertThat(counts.timesToRefusalMillis).allMatch((timeMillis) -> timeMillis < 800);
			assertThat(counts.timesToRefusalMillis.stream().filter((timeMillis) -> timeMillis < 200).count())
				.as("refused within the objective")
				.isGreaterThan(counts.timesToRefusalMillis.size() / 2);
		}

	}

}
