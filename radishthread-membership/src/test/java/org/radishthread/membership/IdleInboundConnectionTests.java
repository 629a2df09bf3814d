package org.radishthread.membership;

import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for gateways that go back to control instances whose own connections to them went
 * silent while they were not in use.
 */
class IdleInboundConnectionTests {

	private static final long RECOVERY_MILLIS = 3_000;

	// Guards against a gateway that leaves silent control instances in time, but gets the
	// responses of the next ones over connections that were opened before the silence.
	@ParameterizedTest
	@ValueSource(longs = { 189, 541, 646 })
	void rulesAreAppliedInTimeAfterTwoSilences(long seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(5, 14, seed);
		fleet.acceptRules(1);
		fleet.run(8_000 + random.nextInt(500));
		int intervalMillis = 2_000 + random.nextInt(5_000);
		random.nextInt(3);
		int acceptanceDelayMillis = random.nextInt(900);
		fleet.names(false).forEach(fleet::silenceConnections);
		fleet.run(intervalMillis);
		fleet.names(false).forEach(fleet::silenceInboundConnections);
		long endMillis = fleet.nowMillis + RECOVERY_MILLIS;
		fleet.run(acceptanceDelayMillis);
		fleet.acceptRules(2);
		fleet.run(endMillis - fleet.nowMillis);
		for (String name : fleet.names(false)) {
			boolean ready = fleet.membership(name).servingState(fleet.nowMillis) == ServingState.READY;
			assertThat(!ready || fleet.membership(name).appliedRules().getRevision() == 2).as(name).isTrue();
		}
	}

}
