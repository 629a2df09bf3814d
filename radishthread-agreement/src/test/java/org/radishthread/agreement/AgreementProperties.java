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
 * Fuzzes the control group against {@link AgreementOracle}: messages are dropped,
 * delayed, reordered and doubled, links are cut in one or both directions, instances
 * crash around a write, freeze, lose their disk and are replaced, while operators race
 * and requests are claimed.
 */
class AgreementProperties {

	private static final int STEPS = 120;

	private static final FakeDisk.Crash[] CRASHES = FakeDisk.Crash.values();

	@Property(tries = 3_000, seed = "20261203", shrinking = ShrinkingMode.OFF)
	void threeInstancesHoldThroughFaults(@ForAll("ofThree") ActionChain<FakeControlCluster> history) {
		holdsThroughFaults(history);
	}

	@Property(tries = 1_000, seed = "20261204", shrinking = ShrinkingMode.OFF)
	void fiveInstancesHoldThroughFaults(@ForAll("ofFive") ActionChain<FakeControlCluster> history) {
		holdsThroughFaults(history);
	}

	private static void holdsThroughFaults(ActionChain<FakeControlCluster> history) {
		FakeControlCluster cluster = history.run();
		cluster.repairEverything();
		assertThat(cluster.acceptsRules()).as("a repaired group accepts rules%n%s", cluster.describe()).isTrue();
		assertThat(cluster.freesClaims()).as("a key that did not run can be claimed").isTrue();
		assertThat(cluster.allInForce()).as("accepted rules are in force at all instances%n%s", cluster.describe())
			.isTrue();
	}

	@Provide
	Arbitrary<ActionChain<FakeControlCluster>> ofThree() {
		return histories(3);
	}

	@Provide
	Arbitrary<ActionChain<FakeControlCluster>> ofFive() {
		return histories(5);
	}

	private static Arbitrary<ActionChain<FakeControlCluster>> histories(int size) {
		Arbitrary<Long> seeds = Arbitraries.longs();
		return seeds.flatMap((seed) -> ActionChain.startWith(() -> new FakeControlCluster(size, seed))
			.withAction(10, action("run", (cluster, n) -> cluster.run(20 + n % 500)))
			.withAction(10, action("disturb", (cluster, n) -> cluster.disturb()))
			.withAction(3, action("cut", (cluster, n) -> cluster.cut(n % size, (n / 7) % size, n % 2 == 0)))
			.withAction(3, action("isolate", (cluster, n) -> cluster.isolate(cluster.pick(n))))
			.withAction(5, action("heal", (cluster, n) -> cluster.heal()))
			.withAction(5, action("crash", (cluster, n) -> cluster.crash(cluster.pick(n / 3), CRASHES[n % 3])))
			.withAction(6, action("bounce", (cluster, n) -> cluster.bounce(n % size)))
			.withAction(8, action("restart", (cluster, n) -> cluster.restart(n % size)))
			.withAction(3, action("freeze", (cluster, n) -> cluster.freeze(cluster.pick(n), true)))
			.withAction(3, action("wake", (cluster, n) -> cluster.wakeAndRead(n % size)))
			.withAction(1, action("lose disk", (cluster, n) -> cluster.loseDisk(cluster.pick(n))))
			.withAction(3, action("replace", (cluster, n) -> cluster.replaceLost()))
			.withAction(8, action("submit",
					(cluster, n) -> cluster.submit(cluster.pick(n), (n / 3) % 4 - 2, (n % 3 == 0) ? "ana-" : "tom-")))
			.withAction(4, action("read", (cluster, n) -> cluster.read(cluster.pick(n))))
			.withAction(6, action("claim", (cluster, n) -> cluster.claim(cluster.pick(n), (n / 3) % 5)))
			.withAction(4, action("repeat claim", (cluster, n) -> cluster.repeatClaim(cluster.pick(n))))
			.withAction(4, action("settle claim", (cluster, n) -> cluster.settleClaim(cluster.pick(n))))
			.withMaxTransformations(STEPS));
	}

	private static Action.Independent<FakeControlCluster> action(String name,
			BiConsumer<FakeControlCluster, Integer> change) {
		return () -> Arbitraries.integers()
			.between(0, 100_000)
			.map((number) -> Transformer.mutate(name + " " + number, (cluster) -> change.accept(cluster, number)));
	}

}
