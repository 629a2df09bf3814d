package org.radishthread.membership;

import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for gateways that report to control instances which are partitioned from
 * the majority of the control group: they apply rules that the majority accepts.
 */
class ControlPartitionProperties {

	// The platform expects accepted rules to be in force everywhere after this time.
	private static final long APPLY_MILLIS = 2_000;

	// The platform expects instances to keep its bounds again this long after control
	// instances were partitioned.
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long START_MILLIS = 8_000;

	private static final int CONTROL_COUNT = 5;

	// Guards against a request that is refused with 404 as an older revision says, since
	// its gateway trusts control instances that do not know the newest revision.
	@Property(tries = 100)
	void gatewaysOfPartitionedControlInstancesApplyAcceptedRules(
			@ForAll @IntRange(min = 0, max = 2_500) int acceptanceDelayMillis,
			@ForAll @IntRange(min = 0, max = CONTROL_COUNT - 1) int firstCutOff,
			@ForAll @IntRange(min = 1, max = 2) int distance, @ForAll @IntRange(min = 1, max = 4) int gatewayCount,
			@ForAll @IntRange(min = 0, max = 10_000) int seed) {
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, gatewayCount, seed);
		fleet.acceptRules(1);
		fleet.run(START_MILLIS);
		long cutAtMillis = fleet.nowMillis;
		fleet.cutOff(Set.of("control-" + firstCutOff, "control-" + (firstCutOff + distance) % CONTROL_COUNT));
		fleet.run(acceptanceDelayMillis);
		fleet.acceptRules(2);
		long checkedAtMillis = Math.max(fleet.nowMillis + APPLY_MILLIS, cutAtMillis + RECOVERY_MILLIS);
		fleet.run(checkedAtMillis - fleet.nowMillis);
		for (String name : fleet.names(false)) {
			assertThat(fleet.membership(name).appliedRules().getRevision()).as(name).isEqualTo(2);
			assertThat(fleet.membership(name).servingState(fleet.nowMillis)).as(name).isEqualTo(ServingState.READY);
		}
	}

}
