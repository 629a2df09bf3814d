package org.radishthread.agreement;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a control group whose disks refuse writes or syncs for a moment.
 */
class RefusedWriteTests {

	private static final long REFUSAL_MILLIS = 3_000;

	// The longest pause before a log is opened again, and an election.
	private static final long RECOVERY_MILLIS = 4_000;

	private final FakeControlCluster cluster = new FakeControlCluster(3, 42);

	private void refuseForAMoment(int index, FakeLogStorage.Refusal refusal) {
		this.cluster.refuseWrites(index, refusal);
		submitRulesToAll();
		this.cluster.run(REFUSAL_MILLIS);
		this.cluster.refuseWrites(index, FakeLogStorage.Refusal.NONE);
		this.cluster.run(RECOVERY_MILLIS);
	}

	private void submitRulesToAll() {
		for (int i = 0; i < 3; i++) {
			this.cluster.submitRules(i, 1, "rules-");
		}
	}

	@Nested
	class OneDiskAfterTheOther {

		// Guards against a control instance that stays out of the group after one
		// refused write.
		@ParameterizedTest
		@EnumSource(value = FakeLogStorage.Refusal.class, names = { "OF_WRITES", "OF_SYNCS" })
		void groupAcceptsRulesAfterEachDiskRefusedWrites(FakeLogStorage.Refusal refusal) {
			FakeControlCluster cluster = RefusedWriteTests.this.cluster;
			for (int i = 0; i < 3; i++) {
				refuseForAMoment(i, refusal);
			}
			assertThat(cluster.acceptsRules()).as("group accepts rules%n%s", cluster.describe()).isTrue();
			assertThat(cluster.allInstancesApplyAcceptedRules()).as("rules are in force%n%s", cluster.describe())
				.isTrue();
		}

	}

	@Nested
	class AllDisksAtOnce {

		// Guards against a group that never elects a leader again after all disks refused
		// writes.
		@ParameterizedTest
		@EnumSource(value = FakeLogStorage.Refusal.class, names = { "OF_WRITES", "OF_SYNCS" })
		void groupAcceptsRulesAfterAllDisksRefusedWrites(FakeLogStorage.Refusal refusal) {
			FakeControlCluster cluster = RefusedWriteTests.this.cluster;
			for (int i = 0; i < 3; i++) {
				cluster.refuseWrites(i, refusal);
			}
			submitRulesToAll();
			cluster.run(REFUSAL_MILLIS);
			for (int i = 0; i < 3; i++) {
				cluster.refuseWrites(i, FakeLogStorage.Refusal.NONE);
			}
			cluster.run(RECOVERY_MILLIS);
			assertThat(cluster.acceptsRules()).as("group accepts rules%n%s", cluster.describe()).isTrue();
		}

	}

}
