package org.radishthread.membership;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for instances that start at the same time: they find each other.
 */
class ClusterFormationProperties {

	private static final int CONTROL_COUNT = 5;

	// The platform sends no requests earlier.
	private static final long START_MILLIS = 8_000;

	// Guards against a control instance that takes itself and the gateways that report to
	// it for the whole cluster: rules and upstreams that others accept reach them late.
	@Property(tries = 100)
	void allInstancesKnowAllControlInstances(@ForAll @IntRange(min = 1, max = 20) int gatewayCount,
			@ForAll @IntRange(min = 0, max = 10_000) int seed) {
		checkFormation(gatewayCount, seed);
	}

	@Example
	void controlInstanceWhoseFirstMessagesAreLostIsFound() {
		checkFormation(14, 9);
	}

	private static void checkFormation(int gatewayCount, int seed) {
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, gatewayCount, seed);
		fleet.acceptRules(1);
		fleet.run(START_MILLIS);
		List<String> names = new ArrayList<>(fleet.names(true));
		names.addAll(fleet.names(false));
		for (String name : names) {
			assertThat(fleet.membership(name).instances(fleet.nowMillis)).as(name)
				.filteredOn((view) -> view.instance().getControl())
				.hasSize(CONTROL_COUNT);
		}
	}

}
