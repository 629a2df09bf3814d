package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.radishthread.agreement.GroupFormation.JoinGroup;
import org.radishthread.agreement.GroupFormation.Observation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Losses, returns and replacements of control instances in virtual time, no more of them
 * at once than the group bears. An instance counts as lost until the catch-up time after
 * it or its successor is back. The group must accept rules and return them all the while.
 */
class GroupRepairProperties {

	private static final int EVENTS = 14;

	private static final long STEP_MILLIS = 100;

	private static final long FORMATION_INTERVAL_MILLIS = 250;

	// Longer than the silence after which a voter is replaced, to cover it as well.
	private static final int LONGEST_FREEZE_MILLIS = 8_000;

	private static final int LONGEST_ABSENCE_MILLIS = 3_000;

	private static final int LONGEST_PAUSE_MILLIS = 4_000;

	// Several elections and requests.
	private static final long AVAILABILITY_MILLIS = 4_000;

	private static final int STEPS_BETWEEN_REQUESTS = 5;

	private static final int MAXIMUM_EVENTS_BEFORE_FINAL_LOSS = 6;

	private static final int LONGEST_RESTART_MILLIS = 1_500;

	@Property(tries = 60, seed = "41", shrinking = ShrinkingMode.OFF)
	void groupOfThreeBearsOneLossAfterTheOther(@ForAll long seed) {
		new History(3, 1, seed).play();
	}

	@Property(tries = 40, seed = "42", shrinking = ShrinkingMode.OFF)
	void groupOfFiveBearsTwoLossesAtOnce(@ForAll long seed) {
		new History(5, 2, seed).play();
	}

	@Property(tries = 40, seed = "43", shrinking = ShrinkingMode.OFF)
	void groupOfThreeKeepsConfirmedRulesWhenAllLosePowerAndOneItsDisk(@ForAll long seed) {
		new History(3, 1, seed).playUntilAllAreLost();
	}

	@Property(tries = 40, seed = "44", shrinking = ShrinkingMode.OFF)
	void groupOfFiveKeepsConfirmedRulesWhenAllLosePowerAndTwoTheirDisks(@ForAll long seed) {
		new History(5, 2, seed).playUntilAllAreLost();
	}

	/**
	 * One random sequence of losses.
	 */
	private static final class History {

		private final int toleratedLosses;

		private final Random random;

		private final FakeControlCluster cluster;

		private final List<FakeControlInstance> members = new ArrayList<>();

		private final Map<FakeControlInstance, GroupFormation> formations = new HashMap<>();

		// The time until which each lost instance counts as lost.
		private final Map<FakeControlInstance, Long> lostUntilMillis = new HashMap<>();

		private final List<Task> tasks = new ArrayList<>();

		private final List<String> events = new ArrayList<>();

		private History(int size, int toleratedLosses, long seed) {
			this.toleratedLosses = toleratedLosses;
			this.random = new Random(seed);
			this.cluster = new FakeControlCluster(size, seed);
			this.members.addAll(this.cluster.instances);
			this.members.forEach(this::observe);
		}

		private void observe(FakeControlInstance instance) {
			this.formations.put(instance, new GroupFormation(instance.descriptor(), List.of("seed"), false,
					FakeControlInstance.GROUP_SETTINGS));
		}

		private void play() {
			for (int event = 0; event < EVENTS; event++) {
				playLoss();
				assertAvailable();
			}
		}

		// Loses one instance as soon as the group bears it, and lets some time pass.
		private void playLoss() {
			while (countLost() >= this.toleratedLosses) {
				step();
			}
			loseOne();
			stepUntil(now() + this.random.nextInt(LONGEST_PAUSE_MILLIS));
		}

		private void stepUntil(long endMillis) {
			while (now() < endMillis) {
				step();
			}
		}

		// Plays some losses. Then, right after a confirmation, some instances lose their
		// disks and all others their power, also those that replace lost ones.
		private void playUntilAllAreLost() {
			int eventCount = this.random.nextInt(MAXIMUM_EVENTS_BEFORE_FINAL_LOSS);
			for (int event = 0; event < eventCount; event++) {
				playLoss();
			}
			confirmRevision();
			loseAll();
			stepUntil(now() + LONGEST_RESTART_MILLIS + STEP_MILLIS);
			assertAvailable();
			assertAvailable();
		}

		private void confirmRevision() {
			long acceptedRevision = this.cluster.checker.acceptedRevision;
			long endMillis = now() + AVAILABILITY_MILLIS;
			while (now() < endMillis && this.cluster.checker.acceptedRevision == acceptedRevision) {
				for (int i = 0; i < this.cluster.instances.size(); i++) {
					this.cluster.submitRules(i, 1, "rules-");
				}
				long attemptEndMillis = now() + STEPS_BETWEEN_REQUESTS * STEP_MILLIS;
				while (now() < attemptEndMillis && this.cluster.checker.acceptedRevision == acceptedRevision) {
					this.cluster.run(10);
				}
				if (this.cluster.checker.acceptedRevision == acceptedRevision) {
					step();
				}
			}
			assertThat(this.cluster.checker.acceptedRevision).as("accepted revision after %s", this.events)
				.isGreaterThan(acceptedRevision);
		}

		private void loseAll() {
			long lostDisks = this.random.nextInt(this.toleratedLosses + 1 - (int) countLost());
			List<FakeControlInstance> shuffledMembers = new ArrayList<>(this.members);
			Collections.shuffle(shuffledMembers, this.random);
			for (FakeControlInstance member : shuffledMembers) {
				if (member.replica() == null) {
					continue;
				}
				boolean diskLost = lostDisks > 0 && this.lostUntilMillis.getOrDefault(member, 0L) <= now();
				lostDisks -= diskLost ? 1 : 0;
				this.events.add(now() + ": " + (diskLost ? "disk" : "power") + " lost " + member);
				restart(member, this.random.nextInt(LONGEST_RESTART_MILLIS),
						diskLost ? this.cluster.nextReplicaId() : member.replicaId);
			}
		}

		private long now() {
			return this.cluster.nowMillis();
		}

		private long countLost() {
			return this.lostUntilMillis.values().stream().filter((untilMillis) -> untilMillis > now()).count();
		}

		private void step() {
			List<Task> dueTasks = this.tasks.stream().filter((task) -> task.atMillis() <= now()).toList();
			this.tasks.removeAll(dueTasks);
			dueTasks.forEach((task) -> task.action().run());
			if (now() % FORMATION_INTERVAL_MILLIS < STEP_MILLIS) {
				this.members.forEach(this::formGroup);
			}
			this.cluster.run(STEP_MILLIS);
		}

		private void formGroup(FakeControlInstance instance) {
			ControlReplica replica = instance.replica();
			if (replica == null || instance.frozen) {
				return;
			}
			Observation observation = new Observation(replica.role() != ReplicaRole.UNFOUNDED,
					replica.status(now()).getLeaderKnown(), List.of());
			this.formations.get(instance)
				.nextAction(observation, now())
				.filter(JoinGroup.class::isInstance)
				.ifPresent((action) -> this.cluster.requestJoin(instance));
		}

		private void loseOne() {
			List<FakeControlInstance> candidates = this.members.stream()
				.filter((member) -> this.lostUntilMillis.getOrDefault(member, 0L) <= now())
				.toList();
			FakeControlInstance lost = candidates.get(this.random.nextInt(candidates.size()));
			int absenceMillis = this.random.nextInt(LONGEST_ABSENCE_MILLIS);
			int kind = this.random.nextInt(5);
			this.events.add(now() + ": " + List.of("frozen", "restarted", "disk lost", "replaced", "planned").get(kind)
					+ ' ' + lost + " for " + absenceMillis);
			switch (kind) {
				case 0 -> freeze(lost, this.random.nextInt(LONGEST_FREEZE_MILLIS));
				case 1 -> restart(lost, absenceMillis, lost.replicaId);
				case 2 -> restart(lost, absenceMillis, this.cluster.nextReplicaId());
				case 3 -> replace(lost, absenceMillis, 0);
				default -> replace(lost, 0, 1_000);
			}
		}

		private void countAsLost(FakeControlInstance instance, long backMillis) {
			this.lostUntilMillis.put(instance, backMillis + FakeControlInstance.CATCH_UP_MILLIS);
		}

		private void freeze(FakeControlInstance instance, long millis) {
			instance.frozen = true;
			countAsLost(instance, now() + millis);
			schedule(millis, () -> instance.frozen = false);
		}

		private void restart(FakeControlInstance instance, long absenceMillis, long replicaId) {
			if (replicaId == instance.replicaId) {
				instance.crash();
			}
			else {
				instance.loseDisk(replicaId);
			}
			this.cluster.checker.recordRestart(instance);
			countAsLost(instance, now() + absenceMillis);
			schedule(absenceMillis, () -> {
				observe(instance);
				instance.start(now());
			});
		}

		// The successor starts some time after the loss or before it.
		private void replace(FakeControlInstance lost, long absenceMillis, long leadMillis) {
			FakeControlInstance successor = this.cluster.addInstance();
			schedule(absenceMillis, () -> {
				this.members.add(successor);
				observe(successor);
				successor.start(now());
			});
			schedule(leadMillis, () -> {
				lost.crash();
				this.members.remove(lost);
			});
			// A removed instance counts until its successor has had the catch-up time.
			countAsLost(lost, Math.max(now() + absenceMillis, now() + leadMillis));
		}

		private void schedule(long delayMillis, Runnable action) {
			this.tasks.add(new Task(now() + delayMillis, action));
		}

		// Operators repeat a submission and a read that got no response.
		private void assertAvailable() {
			long acceptedRevision = this.cluster.checker.acceptedRevision;
			int confirmedReads = this.cluster.checker.confirmedReadCount;
			long endMillis = now() + AVAILABILITY_MILLIS;
			while (now() < endMillis && (this.cluster.checker.acceptedRevision == acceptedRevision
					|| this.cluster.checker.confirmedReadCount == confirmedReads)) {
				for (int i = 0; i < this.cluster.instances.size(); i++) {
					this.cluster.submitRules(i, 1, "rules-");
					this.cluster.sendRead(i);
				}
				for (int i = 0; i < STEPS_BETWEEN_REQUESTS; i++) {
					step();
				}
			}
			assertThat(this.cluster.checker.acceptedRevision)
				.as("accepted revision after %s%n%s", this.events, this.cluster.describe())
				.isGreaterThan(acceptedRevision);
			assertThat(this.cluster.checker.confirmedReadCount)
				.as("confirmed reads after %s%n%s", this.events, this.cluster.describe())
				.isGreaterThan(confirmedReads);
		}

		private record Task(long atMillis, Runnable action) {
		}

	}

}
