package org.radishthread.daemon.cluster;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Freshness;
import org.radishthread.membership.InstanceView;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.RuleFile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClusterView}.
 */
class ClusterViewTests {

	private static final long NOW_MILLIS = 60_000;

	private static final long APPLY_MILLIS = 2_000;

	private static ClusterView view(long revision, long rulesCurrentAtMillis) {
		return new ClusterView(ServingState.READY, NOW_MILLIS, List.of(),
				RuleFile.newBuilder().setRevision(revision).build(), true, rulesCurrentAtMillis);
	}

	private static boolean canOrderEvacuations(InstanceRecord... records) {
		List<InstanceView> instances = Arrays.stream(records)
			.map((instance) -> new InstanceView(instance, true, 1))
			.toList();
		return new ClusterView(ServingState.READY, NOW_MILLIS, instances, RuleFile.getDefaultInstance(), true,
				NOW_MILLIS)
			.canOrderEvacuations();
	}

	// Guards against replicas whose states differ, because one of an earlier version
	// skips the order.
	@Test
	void evacuationsAreNotOrderedBesideAControlInstanceOfAnEarlierVersion() {
		InstanceRecord control = InstanceRecord.newBuilder().setControl(true).setEvacuations(true).build();
		InstanceRecord earlierControl = InstanceRecord.newBuilder().setControl(true).build();
		InstanceRecord gateway = InstanceRecord.newBuilder().setGateway(true).build();
		assertThat(canOrderEvacuations(control, gateway)).isTrue();
		assertThat(canOrderEvacuations(control, earlierControl)).isFalse();
	}

	// Guards against a 404 for a route of an acknowledged revision, from a gateway that
	// has lost contact with control instances and is late.
	@Test
	void outdatedRulesAreNotAllThatAreInForce() {
		assertThat(view(1, NOW_MILLIS - APPLY_MILLIS - 1).hasAllRulesInForce(NOW_MILLIS, APPLY_MILLIS)).isFalse();
	}

	@Test
	void rulesThatWereCurrentWithinTheTimeToApplyAreAllThatAreInForce() {
		assertThat(view(1, NOW_MILLIS - APPLY_MILLIS).hasAllRulesInForce(NOW_MILLIS, APPLY_MILLIS)).isTrue();
	}

	// Guards against a withdrawn key that is accepted because the age of newer rules is
	// taken for that of the rules by which the request is routed.
	@Test
	void ageOfRulesCountsOnlyForTheRevisionInUse() {
		assertThat(view(7, NOW_MILLIS - 300).rulesAgeMillis(7, NOW_MILLIS)).isEqualTo(300);
		assertThat(view(7, NOW_MILLIS - 300).rulesAgeMillis(8, NOW_MILLIS)).isEqualTo(300);
		assertThat(view(7, NOW_MILLIS - 300).rulesAgeMillis(6, NOW_MILLIS)).isGreaterThan(3_600_000);
		assertThat(view(0, Freshness.UNKNOWN).rulesAgeMillis(0, NOW_MILLIS)).isGreaterThan(3_600_000);
	}

	@Test
	void instanceWithoutRulesDoesNotKnowThem() {
		assertThat(view(0, NOW_MILLIS).hasAllRulesInForce(NOW_MILLIS, APPLY_MILLIS)).isFalse();
	}

}
