package org.radishthread.agreement;

import java.util.function.BiConsumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs randomized fault histories on the control group, checked by
 * {@link AgreementChecker}: messages are dropped, delayed, reordered and duplicated,
 * links are cut in one or both directions, disks refuse writes or syncs for a time, and
 * instances crash before or after a write, freeze, lose their disk and are replaced,
 * while operators submit rules concurrently and requests are claimed. At no step does an
 * instance take its rules for newer than they are known to be.
 */
class AgreementProperties {

	private static final int MAXIMUM_ACTIONS = 120;

	private static final FakeLogStorage.CrashPoint[] CRASH_POINTS = FakeLogStorage.CrashPoint.values();

	private static final FakeLogStorage.Refusal[] REFUSALS = FakeLogStorage.Refusal.values();

	@Property(tries = 3_000, seed = "20261203", shrinking = ShrinkingMode.OFF)
	void groupOfThreeStaysConsistentUnderFaults(
			@ForAll("historiesOfThreeInstances") ActionChain<FakeControlCluster> history) {
		checkConsistency(history);
	}

	@Property(tries = 1_000, seed = "20261204", shrinking = ShrinkingMode.OFF)
	void groupOfFiveStaysConsistentUnderFaults(
			@ForAll("historiesOfFiveInstances") ActionChain<FakeControlCluster> history) {
		checkConsistency(history);
	}

	private static void checkConsistency(ActionChain<FakeControlCluster> history) {
		FakeControlCluster cluster = history.run();
		cluster.repairAllFaults();
		assertThat(cluster.acceptsRules()).as("a repaired group accepts rules%n%s", cluster.describe()).isTrue();
		assertThat(cluster.canClaimReleasedKeys()).as("a key whose request did not run can be claimed").isTrue();
		assertThat(cluster.checkedFreshnessCount()).as("checks of the freshness of rules").isPositive();
		assertThat(cluster.allInstancesApplyAcceptedRules())
			.as("accepted rules are in force at all instances%n%s", cluster.describe())
			.isTrue();
	}

	@Provide
	Arbitrary<ActionChain<FakeControlCluster>> historiesOfThreeInstances() {
		return histories(3);
	}

	@Provide
	Arbitrary<ActionChain<FakeControlCluster>> historiesOfFiveInstances() {
		return histories(5);
	}

	private static Arbitrary<ActionChain<FakeControlCluster>> histories(int size) {
		Arbitrary<Long> seeds = Arbitraries.longs();
		return seeds.flatMap((seed) -> ActionChain.startWith(() -> new FakeControlCluster(size, seed))
			.withAction(10, action("run", (cluster, number) -> cluster.run(20 + number % 500)))
			.withAction(10, action("disrupt network", (cluster, number) -> cluster.disruptNetwork()))
			.withAction(3,
					action("cut",
							(cluster, number) -> cluster.cut(number % size, (number / 7) % size, number % 2 == 0)))
			.withAction(3, action("isolate", (cluster, number) -> cluster.isolate(cluster.pickInstance(number))))
			.withAction(5, action("restore links", (cluster, number) -> cluster.restoreLinks()))
			.withAction(5, action("crash",
					(cluster, number) -> cluster.crash(cluster.pickInstance(number / 3), CRASH_POINTS[number % 3])))
			.withAction(6, action("refuse writes",
					(cluster, number) -> cluster.refuseWrites(cluster.pickInstance(number / 3), REFUSALS[number % 3])))
			.withAction(6, action("crash and restart", (cluster, number) -> cluster.crashAndRestart(number % size)))
			.withAction(8, action("restart", (cluster, number) -> cluster.restart(number % size)))
			.withAction(3, action("freeze", (cluster, number) -> cluster.setFrozen(cluster.pickInstance(number), true)))
			.withAction(3, action("resume and read", (cluster, number) -> cluster.resumeAndRead(number % size)))
			.withAction(1, action("lose disk", (cluster, number) -> cluster.loseDisk(cluster.pickInstance(number))))
			.withAction(3, action("replace", (cluster, number) -> cluster.replaceLostReplicas()))
			.withAction(8,
					action("submit",
							(cluster, number) -> cluster.submitRules(cluster.pickInstance(number), (number / 3) % 4 - 2,
									(number % 3 == 0) ? "ana-" : "tom-")))
			.withAction(4, action("read", (cluster, number) -> cluster.sendRead(cluster.pickInstance(number))))
			.withAction(6,
					action("claim",
							(cluster, number) -> cluster.sendClaim(cluster.pickInstance(number), (number / 3) % 5)))
			.withAction(4,
					action("resend claim", (cluster, number) -> cluster.resendClaim(cluster.pickInstance(number))))
			.withAction(4,
					action("complete or release claim",
							(cluster, number) -> cluster.completeOrReleaseClaim(cluster.pickInstance(number))))
			.withMaxTransformations(MAXIMUM_ACTIONS));
	}

	private static Action.Independent<FakeControlCluster> action(String name,
			BiConsumer<FakeControlCluster, Integer> operation) {
		return () -> Arbitraries.integers()
			.between(0, 100_000)
			.map((number) -> Transformer.mutate(name + " " + number, (cluster) -> operation.accept(cluster, number)));
	}

}
