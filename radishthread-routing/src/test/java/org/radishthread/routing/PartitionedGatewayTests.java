package org.radishthread.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for gateways that are partitioned from all upstreams while the home of the
 * service and the other gateways reach each other.
 */
class PartitionedGatewayTests {

	private static final int GATEWAY_COUNT = 14;

	private static final int UPSTREAM_COUNT = 10;

	private static final long PARTITION_MILLIS = 2_000;

	// The platform expects first attempts to be served this long after the partition.
	private static final long STABLE_MILLIS = 3_000;

	private static final long END_MILLIS = 14_000;

	private static final long REQUEST_INTERVAL_MILLIS = 5;

	// The platform tolerates one failed first attempt in fifty, and ten.
	private static final double REQUIRED_SHARE = 0.98;

	private static PartitionSimulation partition(int count, boolean home, boolean hanging) {
		PartitionSimulation simulation = new PartitionSimulation(GATEWAY_COUNT, UPSTREAM_COUNT, hanging, count);
		List<String> gateways = simulation.gateways();
		Set<String> partitioned = new HashSet<>(home ? gateways.subList(0, count) : gateways.subList(1, 1 + count));
		simulation.sendRequests(0, END_MILLIS, REQUEST_INTERVAL_MILLIS);
		simulation.at(PARTITION_MILLIS, () -> simulation.partition(partitioned));
		simulation.at(PARTITION_MILLIS + STABLE_MILLIS, simulation::resetTallies);
		simulation.runUntil(END_MILLIS + 1_000);
		return simulation;
	}

	@Nested
	class OtherGateways {

		// Incident second1 of brazos-rota: the other gateways served 9 of 382 first
		// attempts.
		@ParameterizedTest
		@CsvSource({ "1, false, false", "3, false, false", "8, false, false", "3, false, true", "8, false, true",
				"1, true, false", "3, true, false", "8, true, false", "3, true, true", "8, true, true" })
		void callersOfOtherGatewaysAreServed(int count, boolean home, boolean hanging) {
			assertThat(partition(count, home, hanging).servedShare(false)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
		}

	}

}
