package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.ReplaceReplica;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RulesAnswer;
import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.SubmitRules;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ControlReplica}.
 */
class ControlReplicaTests {

	private final FakeControlCluster cluster = new FakeControlCluster(3, 42);

	private int leader() {
		for (int i = 0; i < 3; i++) {
			ControlReplica group = this.cluster.instances.get(i).group();
			if (group != null && group.role() == ReplicaRole.LEADER) {
				return i;
			}
		}
		throw new IllegalStateException("There must be a leader.");
	}

	@Nested
	class Isolation {

		@Test
		void instanceThatReturnsAfterAnHourDisturbsNobody() {
			int leader = leader();
			long term = ControlReplicaTests.this.cluster.instances.get(leader).group().status(0).getTerm();
			int follower = (leader + 1) % 3;
			ControlReplicaTests.this.cluster.isolate(follower);
			ControlReplicaTests.this.cluster.run(3_600_000);
			ControlReplicaTests.this.cluster.heal();
			ControlReplicaTests.this.cluster.run(5_000);
			assertThat(leader()).isEqualTo(leader);
			assertThat(ControlReplicaTests.this.cluster.instances.get(follower).group().status(0).getTerm())
				.isEqualTo(term);
		}

		@Test
		void isolatedLeaderStepsDown() {
			int leader = leader();
			ControlReplicaTests.this.cluster.isolate(leader);
			ControlReplicaTests.this.cluster.run(1_000);
			assertThat(ControlReplicaTests.this.cluster.instances.get(leader).group().role())
				.isNotEqualTo(ReplicaRole.LEADER);
		}

	}

	@Nested
	class Restarts {

		// The replicas of these tests wait for 200 ms at least before an election.
		@Test
		void groupWhoseInstancesAllStoppedHasALeaderBeforeAnElectionTimeoutPassed() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			for (int i = 0; i < 3; i++) {
				cluster.crash(i, FakeDisk.Crash.NONE);
			}
			cluster.run(1_000);
			for (int i = 0; i < 3; i++) {
				cluster.restart(i);
			}
			cluster.run(190);
			assertThat(leader()).isBetween(0, 2);
		}

	}

	@Nested
	class LostDisks {

		@Test
		void secondLossRightAfterRepairLosesNothing() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			int leader = leader();
			cluster.submit(leader, 1, "kept-");
			cluster.run(500);
			long accepted = cluster.oracle.acceptedRevision;
			int first = (leader + 1) % 3;
			cluster.loseDisk(first);
			cluster.run(500);
			cluster.replaceLost();
			cluster.run(1_000);
			cluster.replaceLost();
			cluster.loseDisk(leader);
			cluster.run(2_000);
			cluster.replaceLost();
			cluster.run(2_000);
			assertThat(accepted).isPositive();
			assertThat(cluster.instances)
				.allSatisfy((instance) -> assertThat(instance.group().rules().getRevision()).isEqualTo(accepted));
		}

		@Test
		void emptyFolderNeitherFoundsNorVotes() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			int leader = leader();
			cluster.loseDisk((leader + 1) % 3);
			cluster.isolate(leader);
			cluster.run(10_000);
			assertThat(cluster.instances.get((leader + 1) % 3).group().role()).isEqualTo(ReplicaRole.UNFOUNDED);
			assertThat(cluster.instances.get((leader + 2) % 3).group().role()).isNotEqualTo(ReplicaRole.LEADER);
		}

	}

	@Nested
	class Joining {

		private Optional<ReplicaDescriptor> added(int leader) {
			return ControlReplicaTests.this.cluster.instances.get(leader)
				.group()
				.status(0)
				.getConfiguration()
				.getLearnersList()
				.stream()
				.findFirst();
		}

		private long removed(int leader) {
			return ControlReplicaTests.this.cluster.instances.get(leader)
				.group()
				.status(0)
				.getConfiguration()
				.getReplacement()
				.getRemoved();
		}

		private void join(int leader) {
			ReplicaDescriptor stranger = ReplicaDescriptor.newBuilder()
				.setId(4711)
				.setInstance("stranger")
				.setAddress("stranger:1")
				.build();
			ControlReplicaTests.this.cluster.ask(leader,
					ControlRequest.newBuilder().setReplace(ReplaceReplica.newBuilder().setAdded(stranger)));
			ControlReplicaTests.this.cluster.run(300);
		}

		@Test
		void instanceOfANewNameIsAddedWhileAllVotersAnswer() {
			int leader = leader();
			join(leader);
			assertThat(added(leader)).get().extracting(ReplicaDescriptor::getInstance).isEqualTo("stranger");
			assertThat(removed(leader)).isZero();
		}

		@Test
		void instanceOfANewNameReplacesAVoterThatIsSilentForLong() {
			int leader = leader();
			int silent = (leader + 1) % 3;
			long identity = ControlReplicaTests.this.cluster.instances.get(silent).descriptor().getId();
			ControlReplicaTests.this.cluster.isolate(silent);
			ControlReplicaTests.this.cluster.run(10_000);
			join(leader);
			assertThat(removed(leader)).isEqualTo(identity);
		}

	}

	@Nested
	class Rules {

		private final RuleRegister register = new RuleRegister();

		private RulesAnswer submit(long revision, String content, String operator) {
			return this.register.submit(
					SubmitRules.newBuilder().setRevision(revision).setContent(content).setSubmittedBy(operator).build(),
					1_000 + revision);
		}

		@Test
		void sameFileIsAnsweredAsTheFirstTimeAlsoAfterLaterRevisions() {
			RulesAnswer first = submit(1, "a", "ana");
			submit(2, "b", "tom");
			RulesAnswer again = submit(1, "a", "somebody");
			assertThat(again.toBuilder().setCurrentRevision(1).build()).isEqualTo(first);
		}

		@Test
		void equalRevisionWithOtherContentNamesTheWinner() {
			submit(5, "a", "ana");
			RulesAnswer loser = submit(5, "b", "tom");
			assertThat(loser.getVerdict()).isEqualTo(RulesVerdict.CONFLICT);
			assertThat(loser.getSubmittedBy()).isEqualTo("ana");
		}

		@Test
		void lowerRevisionIsStale() {
			submit(5, "a", "ana");
			assertThat(submit(4, "b", "tom").getVerdict()).isEqualTo(RulesVerdict.STALE);
			assertThat(this.register.current().getRevision()).isEqualTo(5);
		}

	}

	@Nested
	class Snapshots {

		private static final long BYTES_BETWEEN_SNAPSHOTS = 256 * 1024;

		private static final String CONTENT = "x".repeat(8_000);

		@Test
		void restartAfterAThousandChangesReplaysNoMoreBytesThanTheBound() {
			assertThat(replayedBytesAfter(10)).isLessThanOrEqualTo(BYTES_BETWEEN_SNAPSHOTS + CONTENT.length() * 2);
			assertThat(replayedBytesAfter(1_000)).isLessThanOrEqualTo(BYTES_BETWEEN_SNAPSHOTS + CONTENT.length() * 2);
		}

		private long replayedBytesAfter(int changes) {
			FakeDisk disk = new FakeDisk();
			List<ControlResponse> replies = new ArrayList<>();
			FakeControlInstance instance = new FakeControlInstance("single", 1, (minimum) -> minimum, (message) -> {
			}, (source, rules) -> {
			}, replies::add, (replica) -> {
			});
			instance.disk = disk;
			instance.start(0);
			instance.request(ControlRequest.newBuilder()
				.setInitialize(org.radishthread.protocol.Initialize.newBuilder().addReplicas(instance.descriptor()))
				.build(), 0);
			instance.step((group) -> group.tick(1_000), 1_000);
			for (int revision = 1; revision <= changes; revision++) {
				SubmitRules submit = SubmitRules.newBuilder().setRevision(revision).setContent(CONTENT).build();
				instance.request(
						ControlRequest.newBuilder().setCommand(Command.newBuilder().setSubmitRules(submit)).build(),
						1_000 + revision);
			}
			assertThat(instance.group().rules().getRevision()).isEqualTo(changes);
			return disk.load().entries().stream().mapToLong(LogEntry::getSerializedSize).sum();
		}

	}

}
