package org.radishthread.membership;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the acknowledgement of rules while an instance is silent: it must not wait
 * for that instance.
 */
class AcknowledgementTests {

	// The platform counts instances again this long after one was lost.
	private static final long STABLE_MILLIS = 3_000;

	// Well below the 1,000 ms after which operators ask another instance.
	private static final long ACKNOWLEDGEMENT_MILLIS = 300;

	@ParameterizedTest
	@ValueSource(strings = { "control-0", "control-4", "gateway-3" })
	void rulesAreAcknowledgedWhileAnInstanceIsSilent(String silentName) {
		checkAcknowledgement(silentName, 5);
	}

	private static void checkAcknowledgement(String silentName, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(5, 14, seed);
		fleet.acceptRules(1);
		fleet.run(8_000);
		fleet.stop(silentName);
		fleet.run(STABLE_MILLIS);
		fleet.acceptRules(2);
		fleet.run(ACKNOWLEDGEMENT_MILLIS);
		for (String name : fleet.names(true)) {
			Membership control = fleet.membership(name);
			assertThat(control.countInstancesAtRevision(2, fleet.nowMillis)).as(name)
				.isGreaterThanOrEqualTo(control.responsiveInstanceCount(fleet.nowMillis));
		}
	}

	// Heartbeats of a stopped instance are relayed for up to 1.8 s. They counted from
	// their arrival, so that the instance was waited for 3.3 s after it had stopped.
	@Property(tries = 20)
	void rulesAreAcknowledgedWhicheverInstanceIsSilent(@ForAll @LongRange(max = 100_000) long seed,
			@ForAll("instanceNames") String silentName) {
		checkAcknowledgement(silentName, seed);
	}

	@Provide
	Arbitrary<String> instanceNames() {
		return Arbitraries.of("control-0", "control-2", "control-4", "gateway-3", "gateway-11");
	}

	// An acknowledgement does not wait for an instance that it does not count. Peers are
	// selected at random, so that the heartbeats of one may stay away for a while.
	@Property(tries = 10)
	void runningInstancesAreResponsive(@ForAll @LongRange(max = 100_000) long seed) {
		SimulatedFleet fleet = new SimulatedFleet(5, 14, seed);
		fleet.acceptRules(1);
		fleet.run(8_000);
		for (int step = 0; step < 200; step++) {
			fleet.run(50);
			for (String name : fleet.names(true)) {
				assertThat(fleet.membership(name).responsiveInstanceCount(fleet.nowMillis)).as(name)
					.isEqualTo(fleet.size());
			}
		}
	}

}
