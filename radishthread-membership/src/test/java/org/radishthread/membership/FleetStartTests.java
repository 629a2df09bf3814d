package org.radishthread.membership;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the start and the cost of a large fleet: many gateways with a fraction of a
 * core and a narrow link, few control instances, and upstreams that announce themselves
 * all the time.
 */
class FleetStartTests {

	private static final long SEED = 11;

	private static final int UPSTREAM_COUNT = 208;

	private static final int HEARTBEAT_INTERVAL_MILLIS = 1_500;

	// Callers arrive this long after the machines start.
	private static final long LEAD_MILLIS = 15_000;

	private SimulatedFleet startFleet(int instanceCount) {
		int controlCount = Math.max(5, Math.min(12, instanceCount / 12));
		return new SimulatedFleet(controlCount, instanceCount - controlCount, SEED);
	}

	// A fleet that has started with its first rules and all upstreams.
	private SimulatedFleet startServingFleet(int instanceCount) {
		SimulatedFleet fleet = startFleet(instanceCount);
		fleet.acceptRules(1);
		runWithUpstreams(fleet, LEAD_MILLIS);
		return fleet;
	}

	private void runWithUpstreams(SimulatedFleet fleet, long durationMillis) {
		int step = HEARTBEAT_INTERVAL_MILLIS / 50;
		for (int round = 0; round < durationMillis / 50; round++) {
			for (int upstream = round % step; upstream < UPSTREAM_COUNT; upstream += step) {
				fleet.announce("upstream-" + upstream);
			}
			fleet.run(50);
		}
	}

	private void assertServing(SimulatedFleet fleet, long revision) {
		assertThat(fleet.readyCount()).as("ready instances").isEqualTo(fleet.size());
		assertThat(fleet.confirmedUpstreamCount()).as("acknowledged upstreams").isEqualTo(UPSTREAM_COUNT);
		for (String name : fleet.names(false)) {
			assertThat(fleet.membership(name).appliedRules().getRevision()).as(name).isEqualTo(revision);
			assertThat(fleet.membership(name).upstreams()).as(name).hasSize(UPSTREAM_COUNT);
		}
	}

	@Nested
	class ColdStart {

		@ParameterizedTest
		@ValueSource(ints = { 30, 150, 300 })
		void isCompleteWithinTheLeadTime(int instanceCount) {
			SimulatedFleet fleet = startFleet(instanceCount);
			fleet.run(1_000);
			fleet.acceptRules(1);
			runWithUpstreams(fleet, LEAD_MILLIS - 1_000);
			assertServing(fleet, 1);
		}

	}

	@Nested
	class RestartOfAll {

		@ParameterizedTest
		@ValueSource(ints = { 30, 150, 300 })
		void isCompleteWithinTheLeadTime(int instanceCount) {
			SimulatedFleet fleet = startServingFleet(instanceCount);
			for (boolean control : new boolean[] { true, false }) {
				int index = 0;
				for (String name : fleet.names(control)) {
					fleet.stop(name);
					fleet.start(name, index++, control);
				}
			}
			runWithUpstreams(fleet, LEAD_MILLIS);
			assertServing(fleet, 1);
		}

		@Test
		void restartOfAllControlInstancesKeepsGatewaysReady() {
			SimulatedFleet fleet = startServingFleet(150);
			for (String name : fleet.names(true)) {
				fleet.stop(name);
			}
			for (int step = 0; step < 160; step++) {
				fleet.run(100);
				assertThat(fleet.readyCount()).as("ready gateways after %d ms", step * 100)
					.isEqualTo(fleet.names(false).size());
			}
		}

		@Test
		void exchangeOfAThirdOfTheInstancesLeavesTheOthersReady() {
			SimulatedFleet fleet = startServingFleet(150);
			int exchangedCount = fleet.names(false).size() / 3;
			for (int i = 0; i < exchangedCount; i++) {
				fleet.stop("gateway-" + i);
				fleet.start("gateway-new-" + i, i, false);
			}
			runWithUpstreams(fleet, LEAD_MILLIS);
			fleet.acceptRules(2);
			runWithUpstreams(fleet, 2_000);
			assertServing(fleet, 2);
		}

	}

	@Nested
	class ClockAhead {

		@ParameterizedTest
		@ValueSource(strings = { "gateway-3", "control-1" })
		void instanceThatStartedWhileItsClockWasAheadIsLiveAfterItsNextStart(String name) {
			SimulatedFleet fleet = startFleet(20);
			fleet.acceptRules(1);
			fleet.run(5_000);
			boolean control = name.startsWith("control");
			fleet.stop(name);
			fleet.clockOffsetMillis = 2_400_000;
			fleet.start(name, 1, control);
			fleet.run(5_000);
			fleet.stop(name);
			fleet.run(10_000);
			fleet.clockOffsetMillis = 0;
			fleet.start(name, 1, control);
			fleet.run(4_000);
			assertThat(fleet.readyCount()).isEqualTo(fleet.size());
			for (String other : fleet.names(true)) {
				assertThat(fleet.membership(other).responsiveInstanceCount(fleet.nowMillis)).as(other)
					.isEqualTo(fleet.size());
			}
		}

	}

	@Nested
	class Cost {

		private static final int MEASURED_MILLIS = 20_000;

		// An idle instance may use a hundredth of a link of 2 Mbit/s.
		private static final long MAXIMUM_IDLE_BYTES_PER_SECOND = 2_500;

		private static final double MAXIMUM_IDLE_PROCESSOR_SHARE = 0.05;

		@ParameterizedTest
		@CsvSource({ "30", "150", "300" })
		void ofAnIdleGatewayDoesNotGrowWithTheFleet(int instanceCount) {
			SimulatedFleet fleet = startFleet(instanceCount);
			fleet.acceptRules(1);
			fleet.run(LEAD_MILLIS);
			fleet.resetCounters();
			fleet.run(MEASURED_MILLIS);
			assertThat(fleet.maximumSentBytes(false) * 1_000 / MEASURED_MILLIS)
				.isLessThan(MAXIMUM_IDLE_BYTES_PER_SECOND);
			assertThat(fleet.maximumProcessorShare(false, MEASURED_MILLIS)).isLessThan(MAXIMUM_IDLE_PROCESSOR_SHARE);
		}

		@ParameterizedTest
		@ValueSource(ints = { 150, 300 })
		void ofAStartStaysBelowAQuarterOfTheLink(int instanceCount) {
			SimulatedFleet fleet = startFleet(instanceCount);
			fleet.run(1_000);
			fleet.acceptRules(1);
			runWithUpstreams(fleet, LEAD_MILLIS - 1_000);
			// A quarter of 2 Mbit/s.
			assertThat(fleet.maximumSentBytes(false) * 1_000 / LEAD_MILLIS).isLessThan(62_500);
		}

	}

}
