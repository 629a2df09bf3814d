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

	private int leaderIndex() {
		for (int i = 0; i < 3; i++) {
			ControlReplica replica = this.cluster.instances.get(i).replica();
			if (replica != null && replica.role() == ReplicaRole.LEADER) {
				return i;
			}
		}
		throw new IllegalStateException("There must be a leader.");
	}

	@Nested
	class Isolation {

		@Test
		void instanceThatReconnectsAfterAnHourKeepsLeaderAndTerm() {
			int leaderIndex = leaderIndex();
			long term = ControlReplicaTests.this.cluster.instances.get(leaderIndex).replica().status(0).getTerm();
			int followerIndex = (leaderIndex + 1) % 3;
			ControlReplicaTests.this.cluster.isolate(followerIndex);
			ControlReplicaTests.this.cluster.run(3_600_000);
			ControlReplicaTests.this.cluster.restoreLinks();
			ControlReplicaTests.this.cluster.run(5_000);
			assertThat(leaderIndex()).isEqualTo(leaderIndex);
			assertThat(ControlReplicaTests.this.cluster.instances.get(followerIndex).replica().status(0).getTerm())
				.isEqualTo(term);
		}

		@Test
		void isolatedLeaderStepsDown() {
			int leaderIndex = leaderIndex();
			ControlReplicaTests.this.cluster.isolate(leaderIndex);
			ControlReplicaTests.this.cluster.run(1_000);
			assertThat(ControlReplicaTests.this.cluster.instances.get(leaderIndex).replica().role())
				.isNotEqualTo(ReplicaRole.LEADER);
		}

	}

	@Nested
	class Restarts {

		// The election timeout of these replicas is at least 200 ms.
		@Test
		void restartedGroupElectsLeaderWithinOneElectionTimeout() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			for (int i = 0; i < 3; i++) {
				cluster.crash(i, FakeLogStorage.CrashPoint.NONE);
			}
			cluster.run(1_000);
			for (int i = 0; i < 3; i++) {
				cluster.restart(i);
			}
			cluster.run(190);
			assertThat(leaderIndex()).isBetween(0, 2);
		}

	}

	@Nested
	class LostDisks {

		@Test
		void secondDiskLossRightAfterReplacementKeepsAcceptedRules() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			int leaderIndex = leaderIndex();
			cluster.submitRules(leaderIndex, 1, "kept-");
			cluster.run(500);
			long acceptedRevision = cluster.checker.acceptedRevision;
			int firstFollowerIndex = (leaderIndex + 1) % 3;
			cluster.loseDisk(firstFollowerIndex);
			cluster.run(500);
			cluster.replaceLostReplicas();
			cluster.run(1_000);
			cluster.replaceLostReplicas();
			cluster.loseDisk(leaderIndex);
			cluster.run(2_000);
			cluster.replaceLostReplicas();
			cluster.run(2_000);
			assertThat(acceptedRevision).isPositive();
			assertThat(cluster.instances).allSatisfy(
					(instance) -> assertThat(instance.replica().rules().getRevision()).isEqualTo(acceptedRevision));
		}

		@Test
		void replicaWithEmptyDiskNeitherBootstrapsNorVotes() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			int leaderIndex = leaderIndex();
			cluster.loseDisk((leaderIndex + 1) % 3);
			cluster.isolate(leaderIndex);
			cluster.run(10_000);
			assertThat(cluster.instances.get((leaderIndex + 1) % 3).replica().role()).isEqualTo(ReplicaRole.UNFOUNDED);
			assertThat(cluster.instances.get((leaderIndex + 2) % 3).replica().role()).isNotEqualTo(ReplicaRole.LEADER);
		}

	}

	@Nested
	class Joining {

		private Optional<ReplicaDescriptor> addedLearner(int leaderIndex) {
			return ControlReplicaTests.this.cluster.instances.get(leaderIndex)
				.replica()
				.status(0)
				.getConfiguration()
				.getLearnersList()
				.stream()
				.findFirst();
		}

		private long removedVoterId(int leaderIndex) {
			return ControlReplicaTests.this.cluster.instances.get(leaderIndex)
				.replica()
				.status(0)
				.getConfiguration()
				.getReplacement()
				.getRemoved();
		}

		private void requestJoin(int leaderIndex) {
			ReplicaDescriptor newInstance = ReplicaDescriptor.newBuilder()
				.setId(4711)
				.setInstance("new-instance")
				.setAddress("new-instance:1")
				.build();
			ControlReplicaTests.this.cluster.sendRequest(leaderIndex,
					ControlRequest.newBuilder().setReplace(ReplaceReplica.newBuilder().setAdded(newInstance)));
			ControlReplicaTests.this.cluster.run(300);
		}

		@Test
		void newInstanceIsAddedWhileAllVotersRespond() {
			int leaderIndex = leaderIndex();
			requestJoin(leaderIndex);
			assertThat(addedLearner(leaderIndex)).get()
				.extracting(ReplicaDescriptor::getInstance)
				.isEqualTo("new-instance");
			assertThat(removedVoterId(leaderIndex)).isZero();
		}

		@Test
		void newInstanceReplacesUnresponsiveVoter() {
			FakeControlCluster cluster = ControlReplicaTests.this.cluster;
			int leaderIndex = leaderIndex();
			int unresponsiveIndex = (leaderIndex + 1) % 3;
			long replicaId = cluster.instances.get(unresponsiveIndex).descriptor().getId();
			cluster.isolate(unresponsiveIndex);
			FakeControlInstance newInstance = cluster.addInstance();
			newInstance.start(cluster.nowMillis());
			cluster.requestJoin(newInstance);
			cluster.run(2 * FakeControlInstance.CATCH_UP_MILLIS);
			assertThat(cluster.instances.get(leaderIndex).replica().status(0).getConfiguration().getVotersList())
				.extracting(ReplicaDescriptor::getId)
				.hasSize(3)
				.contains(newInstance.replicaId)
				.doesNotContain(replicaId);
		}

	}

	@Nested
	class Rules {

		private final RuleRegistry registry = new RuleRegistry();

		private RulesAnswer submit(long revision, String content, String operator) {
			return this.registry.submit(
					SubmitRules.newBuilder().setRevision(revision).setContent(content).setSubmittedBy(operator).build(),
					1_000 + revision);
		}

		@Test
		void resubmittedRevisionGetsSameResultAfterLaterRevisions() {
			RulesAnswer firstAnswer = submit(1, "a", "ana");
			submit(2, "b", "tom");
			RulesAnswer repeatedAnswer = submit(1, "a", "eva");
			assertThat(repeatedAnswer.toBuilder().setCurrentRevision(1).build()).isEqualTo(firstAnswer);
		}

		@Test
		void sameRevisionWithOtherContentReportsAcceptedSubmitter() {
			submit(5, "a", "ana");
			RulesAnswer conflict = submit(5, "b", "tom");
			assertThat(conflict.getVerdict()).isEqualTo(RulesVerdict.CONFLICT);
			assertThat(conflict.getSubmittedBy()).isEqualTo("ana");
		}

		@Test
		void lowerRevisionIsRejectedAsStale() {
			submit(5, "a", "ana");
			assertThat(submit(4, "b", "tom").getVerdict()).isEqualTo(RulesVerdict.STALE);
			assertThat(this.registry.currentRules().getRevision()).isEqualTo(5);
		}

	}

	@Nested
	class Snapshots {

		private static final long BYTES_BETWEEN_SNAPSHOTS = 256 * 1024;

		private static final String CONTENT = "x".repeat(8_000);

		@Test
		void restartReplaysBoundedBytesAfterAnyNumberOfChanges() {
			assertThat(replayedBytesAfter(10)).isLessThanOrEqualTo(BYTES_BETWEEN_SNAPSHOTS + CONTENT.length() * 2);
			assertThat(replayedBytesAfter(1_000)).isLessThanOrEqualTo(BYTES_BETWEEN_SNAPSHOTS + CONTENT.length() * 2);
		}

		private long replayedBytesAfter(int changes) {
			FakeLogStorage storage = new FakeLogStorage();
			List<ControlResponse> responses = new ArrayList<>();
			FakeControlInstance instance = new FakeControlInstance("single", 1, (minimum) -> minimum, (message) -> {
			}, (source, rules) -> {
			}, responses::add, (replica) -> {
			});
			instance.storage = storage;
			instance.start(0);
			instance.handleRequest(ControlRequest.newBuilder()
				.setInitialize(org.radishthread.protocol.Initialize.newBuilder().addReplicas(instance.descriptor()))
				.build(), 0);
			instance.step((replica) -> replica.tick(1_000), 1_000);
			for (int revision = 1; revision <= changes; revision++) {
				SubmitRules submit = SubmitRules.newBuilder().setRevision(revision).setContent(CONTENT).build();
				instance.handleRequest(
						ControlRequest.newBuilder().setCommand(Command.newBuilder().setSubmitRules(submit)).build(),
						1_000 + revision);
			}
			assertThat(instance.replica().rules().getRevision()).isEqualTo(changes);
			return storage.load().entries().stream().mapToLong(LogEntry::getSerializedSize).sum();
		}

	}

}
