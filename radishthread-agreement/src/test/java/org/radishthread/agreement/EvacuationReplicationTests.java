package org.radishthread.agreement;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.EvacuationOrder;
import org.radishthread.protocol.ZoneEvacuation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the replication of evacuations of availability zones in a control group of
 * three.
 */
class EvacuationReplicationTests {

	private static final String ZONE = "bastrop";

	private final FakeControlCluster cluster = new FakeControlCluster(3, 7);

	private int leaderIndex() {
		return IntStream.range(0, 3)
			.filter((index) -> this.cluster.instances.get(index).isActive())
			.filter((index) -> this.cluster.instances.get(index).replica().role() == ReplicaRole.LEADER)
			.findFirst()
			.orElseThrow();
	}

	private void order(int index, boolean evacuate, long knownVersion) {
		this.cluster.sendRequest(index,
				ControlRequest.newBuilder()
					.setCommand(Command.newBuilder()
						.setEvacuation(EvacuationOrder.newBuilder()
							.setZone(ZONE)
							.setEvacuate(evacuate)
							.setKnownVersion(knownVersion))));
	}

	private void assertEvacuatedEverywhere(boolean evacuated) {
		assertThat(this.cluster.instances)
			.allSatisfy((instance) -> assertThat(instance.publishedEvacuations.getZonesList()).as(instance.toString())
				.singleElement()
				.returns(ZONE, ZoneEvacuation::getZone)
				.returns(evacuated, ZoneEvacuation::getEvacuated));
	}

	@Nested
	class Faults {

		@Test
		void allProcessesAreKilled() {
			FakeControlCluster cluster = EvacuationReplicationTests.this.cluster;
			order(leaderIndex(), true, 0);
			cluster.run(500);
			IntStream.range(0, 3).forEach((index) -> cluster.crash(index, FakeLogStorage.CrashPoint.NONE));
			cluster.run(500);
			IntStream.range(0, 3).forEach(cluster::restart);
			cluster.run(1_000);
			assertEvacuatedEverywhere(true);
		}

		@Test
		void killedProcessesRestoreItFromASnapshot() {
			FakeControlCluster cluster = EvacuationReplicationTests.this.cluster;
			order(leaderIndex(), true, 0);
			for (int i = 0; i < 40; i++) {
				cluster.submitRules(leaderIndex(), 0, "repeated-");
				cluster.run(50);
			}
			assertThat(cluster.instances.get(0).storage.load().snapshot().getState().getEvacuations().getVersion())
				.isEqualTo(1);
			cluster.crash(0, FakeLogStorage.CrashPoint.NONE);
			cluster.restart(0);
			assertEvacuatedEverywhere(true);
		}

		@Test
		void leaderIsFrozenBetweenStartAndEnd() {
			FakeControlCluster cluster = EvacuationReplicationTests.this.cluster;
			int formerLeader = leaderIndex();
			order(formerLeader, true, 0);
			cluster.run(500);
			cluster.setFrozen(formerLeader, true);
			cluster.run(2_000);
			order(leaderIndex(), false, 1);
			cluster.run(500);
			cluster.setFrozen(formerLeader, false);
			cluster.run(1_000);
			assertEvacuatedEverywhere(false);
		}

	}

	@Nested
	class PlannedReplacement {

		// An instance leaves for good; one with an empty disk and a new identity joins.
		@Test
		void newInstanceLearnsEvacuationsAndRules() {
			FakeControlCluster cluster = EvacuationReplicationTests.this.cluster;
			cluster.submitRules(leaderIndex(), 1, "kept-");
			order(leaderIndex(), true, 0);
			cluster.run(500);
			int removed = (leaderIndex() + 1) % 3;
			cluster.loseDisk(removed);
			cluster.run(10_000);
			cluster.replaceLostReplicas();
			cluster.run(3_000);
			assertEvacuatedEverywhere(true);
			assertThat(cluster.allInstancesApplyAcceptedRules()).isTrue();
		}

		@Test
		void leaderThatLeavesForGoodIsReplaced() {
			FakeControlCluster cluster = EvacuationReplicationTests.this.cluster;
			cluster.submitRules(leaderIndex(), 1, "kept-");
			order(leaderIndex(), true, 0);
			cluster.run(500);
			cluster.loseDisk(leaderIndex());
			cluster.run(10_000);
			cluster.replaceLostReplicas();
			cluster.run(3_000);
			assertEvacuatedEverywhere(true);
			order(leaderIndex(), false, 1);
			cluster.run(500);
			assertEvacuatedEverywhere(false);
			assertThat(cluster.acceptsRules()).isTrue();
		}

	}

	@Nested
	class WithoutOrders {

		@Test
		void nothingIsPublished() {
			FakeControlCluster cluster = EvacuationReplicationTests.this.cluster;
			cluster.submitRules(leaderIndex(), 1, "rules-");
			cluster.run(500);
			assertThat(cluster.instances)
				.allSatisfy((instance) -> assertThat(instance.publishedEvacuations.getVersion()).isZero());
		}

	}

}
