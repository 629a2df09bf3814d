package org.radishthread.membership;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for gateways whose connections lose all messages without notice, at any
 * time around the acceptance of rules: they apply the rules within the bounds of the
 * platform.
 */
class SilentConnectionProperties {

	// The platform expects accepted rules to be in force everywhere after this time.
	private static final long APPLY_MILLIS = 2_000;

	// The platform expects instances to keep its bounds again this long after their
	// connections went silent.
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long START_MILLIS = 8_000;

	@Property(tries = 60)
	void gatewaysApplyRulesInTime(@ForAll @IntRange(min = -2_500, max = 1_500) int silenceOffsetMillis,
			@ForAll @IntRange(min = 0, max = 10_000) int seed) {
		SimulatedFleet fleet = new SimulatedFleet(5, 16, seed);
		fleet.acceptRules(1);
		fleet.run(START_MILLIS);
		long acceptedAtMillis = fleet.nowMillis + 3_000;
		long silentAtMillis = acceptedAtMillis + silenceOffsetMillis;
		long checkedAtMillis = Math.max(acceptedAtMillis + APPLY_MILLIS, silentAtMillis + RECOVERY_MILLIS);
		Random random = new Random(seed);
		while (fleet.nowMillis < checkedAtMillis) {
			if (fleet.nowMillis == acceptedAtMillis) {
				fleet.acceptRules(2);
			}
			if (fleet.nowMillis == silentAtMillis) {
				fleet.names(false).stream().filter((name) -> random.nextBoolean()).forEach(fleet::silenceConnections);
			}
			fleet.run(1);
		}
		for (String name : fleet.names(false)) {
			assertThat(fleet.membership(name).appliedRules().getRevision()).as(name).isEqualTo(2);
			assertThat(fleet.membership(name).servingState(fleet.nowMillis)).as(name).isEqualTo(ServingState.READY);
		}
	}

}
