package org.radishthread.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.radishthread.rules.ServiceRule;

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
		return partition(new PartitionSimulation(GATEWAY_COUNT, UPSTREAM_COUNT, hanging, count), count, home);
	}

	private static PartitionSimulation partition(PartitionSimulation simulation, int count, boolean home) {
		return partition(simulation, count, home, REQUEST_INTERVAL_MILLIS);
	}

	private static PartitionSimulation partition(PartitionSimulation simulation, int count, boolean home,
			long requestIntervalMillis) {
		List<String> gateways = simulation.gateways();
		Set<String> partitioned = new HashSet<>(home ? gateways.subList(0, count) : gateways.subList(1, 1 + count));
		simulation.sendRequests(0, END_MILLIS, requestIntervalMillis);
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

	@Nested
	class PartitionedGateways {

		// The platform expects them to serve two thirds of what the others do.
		@ParameterizedTest
		@CsvSource({ "1, false, false", "3, false, false", "8, false, false", "13, false, false", "3, false, true",
				"8, false, true", "1, true, false", "3, true, false", "8, true, false", "13, true, false",
				"3, true, true", "8, true, true" })
		void callersOfPartitionedGatewaysAreServedByRelays(int count, boolean home, boolean hanging) {
			PartitionSimulation simulation = partition(count, home, hanging);
			assertThat(simulation.servedShare(true)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
		}

		@ParameterizedTest
		@CsvSource({ "3, false", "8, false", "8, true" })
		void callersAreServedWhileKeptConnectionsLiveOn(int count, boolean home) {
			PartitionSimulation simulation = new PartitionSimulation(GATEWAY_COUNT, UPSTREAM_COUNT, false, count);
			simulation.keptConnectionsLiveOn = true;
			partition(simulation, count, home);
			assertThat(simulation.servedShare(true)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
			assertThat(simulation.servedShare(false)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
		}

		@Test
		void gatewaysConnectThemselvesAgainAfterThePartition() {
			PartitionSimulation simulation = new PartitionSimulation(GATEWAY_COUNT, UPSTREAM_COUNT, false, 9);
			Set<String> partitioned = new HashSet<>(simulation.gateways().subList(0, 8));
			simulation.sendRequests(0, 20_000, REQUEST_INTERVAL_MILLIS);
			simulation.at(PARTITION_MILLIS, () -> simulation.partition(partitioned));
			simulation.at(8_000, () -> simulation.partition(Set.of()));
			simulation.runUntil(15_000);
			int relayedAttempts = simulation.relayedAttempts();
			simulation.runUntil(21_000);
			assertThat(simulation.relayedAttempts()).isEqualTo(relayedAttempts);
			assertThat(relayedAttempts).isPositive();
		}

	}

	@Nested
	class ManyGateways {

		// Incident 1 of brazos-rota-grown: a gateway sent too few requests of a service
		// for its home to learn that it was partitioned, and two failures to connect
		// used up the attempts of a request that had not run.
		@ParameterizedTest
		@CsvSource({ "36, 13, 24, false", "72, 13, 24, false", "36, 89, 12, false", "72, 91, 3, false",
				"36, 13, 24, true", "36, 58, 6, true", "72, 91, 3, true" })
		void callersAreServedThoughAGatewaySendsFewRequestsOfAService(int count, int upstreamCount,
				long requestIntervalMillis, boolean keptConnectionsLiveOn) {
			PartitionSimulation simulation = new PartitionSimulation(120, upstreamCount, true, count);
			simulation.keptConnectionsLiveOn = keptConnectionsLiveOn;
			partition(simulation, count, false, requestIntervalMillis);
			assertThat(simulation.servedShare(true)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
			assertThat(simulation.servedShare(false)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
		}

	}

	@Nested
	class SilentConnections {

		private static final String PARTITIONED = "gateway-1";

		private static final long NANOS_PER_MILLI = 1_000_000;

		// Attempts of a partitioned gateway on connections that had gone silent made the
		// upstreams look slow to all gateways.
		@Test
		void timeOfAnAttemptOnALostPathIsNotTakenForThatOfTheUpstream() {
			ServiceRouter router = new ServiceRouter(ServiceRule.defaults("service"), "zone-0", 16, 0);
			router.updateUpstreams(List.of(new Upstream("upstream-0", "127.0.0.1:1", "zone-0", 3, 1, true)), 0);
			long nowNanos = 0;
			for (int id = 1; id <= 10; id++) {
				admit(router, id, "gateway-2", nowNanos);
				nowNanos += 100 * NANOS_PER_MILLI;
				router.completeAttempt(id, "upstream-0", AttemptResult.SUCCESS, nowNanos);
			}
			for (int id = 11; id <= 13; id++) {
				admit(router, id, PARTITIONED, nowNanos);
			}
			router.recordReachability(PARTITIONED, true, nowNanos);
			nowNanos += 2_000 * NANOS_PER_MILLI;
			for (int id = 11; id <= 13; id++) {
				router.completeAttempt(id, "upstream-0", AttemptResult.CANCELLED, nowNanos);
			}
			// Would be refused as too late if the upstream were expected to take longer.
			assertThat(admit(router, 14, "gateway-2", nowNanos)).singleElement()
				.isInstanceOf(RoutingEffect.Dispatch.class);
		}

		private List<RoutingEffect> admit(ServiceRouter router, long id, String origin, long nowNanos) {
			return router.admit(new RoutingRequest(id, "caller-" + id, false, nowNanos + 300 * NANOS_PER_MILLI, "",
					Urgency.NORMAL, 2, origin), nowNanos);
		}

	}

	@Nested
	class LostUpstreams {

		// Upstreams that no gateway reaches are ejected, not taken for lost paths.
		@ParameterizedTest
		@CsvSource({ "1", "3", "5" })
		void othersAreServedWhileUpstreamsAreLost(int count) {
			PartitionSimulation simulation = new PartitionSimulation(GATEWAY_COUNT, UPSTREAM_COUNT, false, count);
			Set<String> lost = new HashSet<>();
			for (int i = 0; i < count; i++) {
				lost.add("upstream-" + i);
			}
			simulation.sendRequests(0, END_MILLIS, REQUEST_INTERVAL_MILLIS);
			simulation.at(PARTITION_MILLIS, () -> simulation.loseUpstreams(lost));
			simulation.at(PARTITION_MILLIS + STABLE_MILLIS, simulation::resetTallies);
			simulation.runUntil(END_MILLIS + 1_000);
			assertThat(simulation.servedShare(false)).isGreaterThanOrEqualTo(REQUIRED_SHARE);
		}

	}

}
