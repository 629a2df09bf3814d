package org.radishthread.membership;

import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for gateways whose control instances are overloaded: they respond, but late.
 */
class SlowControlInstanceTests {

	private static final int CONTROL_COUNT = 5;

	private static final int GATEWAY_COUNT = 14;

	private static final int MINIMUM_DELAY_MILLIS = 1_500;

	private static final int MAXIMUM_DELAY_MILLIS = 3_000;

	// The time after which the first late responses have arrived.
	private static final long ADAPTATION_MILLIS = 5_000;

	// Guards against overload that makes itself worse: a gateway that leaves a slow
	// control instance opens connections to another slow one. Until responses arrive it
	// may try each other one, and afterwards leave one more by chance.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5 })
	void gatewaysDoNotLeaveSlowControlInstancesAgainAndAgain(int seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, GATEWAY_COUNT, seed);
		fleet.acceptRules(1);
		fleet.run(8_000);
		fleet.controlDelayMillis = () -> MINIMUM_DELAY_MILLIS
				+ random.nextInt(MAXIMUM_DELAY_MILLIS - MINIMUM_DELAY_MILLIS);
		fleet.run(ADAPTATION_MILLIS);
		long leftAtFirst = fleet.leftInstances;
		fleet.run(30_000);
		assertThat(leftAtFirst).isLessThanOrEqualTo((CONTROL_COUNT - 1) * GATEWAY_COUNT);
		assertThat(fleet.leftInstances - leftAtFirst).isLessThanOrEqualTo(GATEWAY_COUNT);
	}

}
