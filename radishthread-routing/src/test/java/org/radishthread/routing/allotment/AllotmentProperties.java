package org.radishthread.routing.allotment;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.routing.AllotmentLimits;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.allotment.AllotmentSimulation.Gateway;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for the allotment of a workspace over all instances: the requests that
 * run in any window stay within the bound, whatever fails, and a workspace within its
 * allotment is not refused while nothing fails.
 */
class AllotmentProperties {

	private static final int DURATION_MILLIS = 30_000;

	private static final int APPLY_MILLIS = 2_000;

	private static AllotmentTerms terms(long revision, double requestsPerSecond, double burst) {
		return AllotmentTerms.newBuilder()
			.setRevision(revision)
			.setRequestsPerSecond(requestsPerSecond)
			.setBurst(burst)
			.build();
	}

	@Property(tries = 150)
	void requestsStayWithinTheBoundUnderFaults(@ForAll @DoubleRange(min = 0.5, max = 150) double requestsPerSecond,
			@ForAll @DoubleRange(min = 0, max = 100) double burst,
			@ForAll @DoubleRange(min = 0.2, max = 6) double demandFactor,
			@ForAll @IntRange(min = 3, max = 40) int gatewayCount,
			@ForAll @DoubleRange(min = 0, max = 0.2) double lossShare,
			@ForAll @IntRange(min = 2, max = 200) int maximumDelayMillis,
			@ForAll @DoubleRange(min = 0, max = 0.3) double neverRunShare,
			@ForAll @IntRange(min = 0, max = 6) int faults, @ForAll long seed) {
		AllotmentSimulation simulation = new AllotmentSimulation(gatewayCount, AllotmentLimits.DEFAULTS,
				terms(1, requestsPerSecond, burst), DURATION_MILLIS, seed);
		simulation.lossShare = lossShare;
		simulation.maximumDelayMillis = maximumDelayMillis;
		simulation.neverRunShare = neverRunShare;
		simulation.demandPerSecond = () -> (simulation.nowMillis % 9_000 < 3_000) ? 0.1 * requestsPerSecond
				: demandFactor * requestsPerSecond;
		for (int i = 0; i < faults; i++) {
			simulation.schedule(simulation.random.nextInt(DURATION_MILLIS), () -> fail(simulation));
		}
		simulation.run();
		assertThat((double) simulation.mostInWindow(simulation.ran, 0, DURATION_MILLIS))
			.isLessThanOrEqualTo(AllotmentSimulation.bound(simulation.limits, simulation.terms));
	}

	private static void fail(AllotmentSimulation simulation) {
		List<Gateway> gateways = new ArrayList<>(simulation.gateways);
		Collections.shuffle(gateways, simulation.random);
		Gateway gateway = simulation.random.nextBoolean() ? simulation.lender() : gateways.get(0);
		int durationMillis = 500 + simulation.random.nextInt(9_000);
		switch (simulation.random.nextInt(4)) {
			case 0 -> {
				simulation.crash(gateway);
				simulation.schedule(durationMillis, () -> simulation.restart(gateway));
			}
			case 1 -> {
				simulation.leave(gateway);
				simulation.schedule(durationMillis, () -> simulation.restart(gateway));
			}
			case 2 -> {
				simulation.cutOff(gateways.subList(0, simulation.random.nextInt(gateways.size())));
				simulation.schedule(durationMillis, simulation::heal);
			}
			default -> {
				simulation.cutOff(List.of(gateway));
				simulation.schedule(durationMillis, simulation::heal);
			}
		}
	}

	@Property(tries = 150)
	void loweredAllotmentBindsOneWindowAfterTheRules(@ForAll @DoubleRange(min = 5, max = 150) double requestsPerSecond,
			@ForAll @DoubleRange(min = 0.1, max = 0.9) double loweredShare,
			@ForAll @DoubleRange(min = 0, max = 50) double burst,
			@ForAll @DoubleRange(min = 0.5, max = 5) double demandFactor,
			@ForAll @IntRange(min = 3, max = 40) int gatewayCount, @ForAll long seed) {
		AllotmentSimulation simulation = new AllotmentSimulation(gatewayCount, AllotmentLimits.DEFAULTS,
				terms(1, requestsPerSecond, burst), DURATION_MILLIS, seed);
		simulation.demandPerSecond = () -> demandFactor * requestsPerSecond;
		int changeMillis = 10_000;
		simulation.schedule(changeMillis, () -> simulation
			.changeTerms(terms(2, loweredShare * requestsPerSecond, loweredShare * burst), APPLY_MILLIS));
		simulation.run();
		int windowMillis = (int) (1_000 * simulation.limits.windowSeconds());
		assertThat((double) simulation.mostInWindow(simulation.ran, changeMillis + APPLY_MILLIS + windowMillis,
				DURATION_MILLIS))
			.isLessThanOrEqualTo(AllotmentSimulation.bound(simulation.limits, simulation.terms));
	}

	@Property(tries = 150)
	void workspaceWithinItsAllotmentIsNotRefused(@ForAll @DoubleRange(min = 0.5, max = 150) double requestsPerSecond,
			@ForAll @DoubleRange(min = 0.1, max = 0.95) double demandShare,
			@ForAll @IntRange(min = 3, max = 60) int gatewayCount,
			@ForAll @IntRange(min = 2, max = 20) int maximumDelayMillis, @ForAll long seed) {
		checkWithinAllotment(requestsPerSecond, demandShare, gatewayCount, maximumDelayMillis, false, seed);
	}

	@Property(tries = 150)
	void workspaceWithinItsAllotmentIsNotRefusedWhileItsLenderIsReplaced(
			@ForAll @DoubleRange(min = 0.5, max = 150) double requestsPerSecond,
			@ForAll @DoubleRange(min = 0.1, max = 0.95) double demandShare,
			@ForAll @IntRange(min = 3, max = 60) int gatewayCount,
			@ForAll @IntRange(min = 2, max = 20) int maximumDelayMillis, @ForAll long seed) {
		checkWithinAllotment(requestsPerSecond, demandShare, gatewayCount, maximumDelayMillis, true, seed);
	}

	// Guards against tokens that were lost with each return of a loan of an idle
	// borrower.
	@Example
	void workspaceNearItsAllotmentIsNotRefusedWhileBorrowersFallIdle() {
		checkWithinAllotment(11.87, 0.95, 48, 11, false, 27238);
	}

	// Guards against a new lender that forgot the tokens handed over to it and started
	// again nearly without any.
	@Example
	void tokensHandedOverAreKeptUntilTheyAreNeeded() {
		checkWithinAllotment(0.82, 0.68, 26, 3, true, -12759);
	}

	private static void checkWithinAllotment(double requestsPerSecond, double demandShare, int gatewayCount,
			int maximumDelayMillis, boolean lenderLeaves, long seed) {
		AllotmentSimulation simulation = new AllotmentSimulation(gatewayCount, AllotmentLimits.DEFAULTS,
				terms(1, requestsPerSecond, 5 + 2 * requestsPerSecond), DURATION_MILLIS, seed);
		simulation.maximumDelayMillis = maximumDelayMillis;
		simulation.demandPerSecond = () -> demandShare * requestsPerSecond;
		if (lenderLeaves) {
			simulation.schedule(10_000, () -> {
				Gateway lender = simulation.lender();
				simulation.leave(lender);
				simulation.schedule(8_000, () -> simulation.restart(lender));
			});
		}
		simulation.run();
		if (simulation.isWithinAllotment()) {
			assertThat(simulation.refusals).isEmpty();
		}
	}

	@Property(tries = 100)
	void workspaceFarAboveItsAllotmentGetsNearlyAllOfIt(
			@ForAll @DoubleRange(min = 1, max = 150) double requestsPerSecond,
			@ForAll @DoubleRange(min = 3, max = 8) double demandFactor,
			@ForAll @IntRange(min = 3, max = 119) int gatewayCount, @ForAll long seed) {
		AllotmentSimulation simulation = new AllotmentSimulation(gatewayCount, AllotmentLimits.DEFAULTS,
				terms(1, requestsPerSecond, 0), DURATION_MILLIS, seed);
		simulation.demandPerSecond = () -> demandFactor * requestsPerSecond;
		simulation.run();
		assertThat((double) AllotmentSimulation.sum(simulation.ran, 0, DURATION_MILLIS))
			.isGreaterThanOrEqualTo(0.9 * requestsPerSecond * DURATION_MILLIS / 1_000);
		assertThat(simulation.refusals).doesNotContainKey(RefusalReason.ALLOTMENT_UNKNOWN);
	}

}
