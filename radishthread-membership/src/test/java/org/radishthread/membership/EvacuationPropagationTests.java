package org.radishthread.membership;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Freshness;
import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.InstanceRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the propagation of evacuations of availability zones from the control group
 * to 103 gateways with narrow links.
 */
class EvacuationPropagationTests {

	private static final String ZONE = "bastrop";

	private static final int CONTROL_COUNT = 11;

	private static final int GATEWAY_COUNT = 103;

	// The time within which an evacuation must be in force.
	private static final long APPLY_MILLIS = 5_000;

	// Longer than a gateway takes to report, with the time to connect.
	private static final long REPORT_MILLIS = 1_000;

	private static SimulatedFleet startFleet() {
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, GATEWAY_COUNT, 3);
		fleet.run(1_000);
		fleet.acceptRules(1);
		fleet.run(9_000);
		assertThat(fleet.readyCount()).isEqualTo(fleet.size());
		return fleet;
	}

	private static void assertEvacuated(SimulatedFleet fleet, boolean evacuated) {
		for (String name : fleet.names(false)) {
			assertThat(fleet.isEvacuated(name, ZONE)).as(name).isEqualTo(evacuated);
		}
	}

	@Nested
	class Orders {

		@Test
		void evacuationAndItsEndAreInForceAtAllGatewaysWithinAReport() {
			SimulatedFleet fleet = startFleet();
			fleet.order(ZONE, true);
			fleet.run(REPORT_MILLIS);
			assertEvacuated(fleet, true);
			fleet.order(ZONE, false);
			fleet.run(REPORT_MILLIS);
			assertEvacuated(fleet, false);
		}

		@Test
		void gatewaysKnowTheAgeOfWhatTheyApply() {
			SimulatedFleet fleet = startFleet();
			fleet.order(ZONE, true);
			fleet.run(2_000);
			for (String name : fleet.names(false)) {
				assertThat(fleet.nowMillis - fleet.membership(name).evacuationsCurrentAtMillis()).as(name)
					.isBetween(0L, APPLY_MILLIS / 2);
			}
		}

		@Test
		void nothingIsSentWhileNoOrderWasEverGiven() {
			assertThat(startFleet().evacuationMessages).isZero();
		}

	}

	@Nested
	class Faults {

		@Test
		void cutOffControlInstancesAndTheirGatewaysLearnIt() {
			SimulatedFleet fleet = startFleet();
			fleet.cutOff(Set.of("control-1", "control-2"));
			fleet.order(ZONE, true);
			fleet.run(APPLY_MILLIS);
			assertEvacuated(fleet, true);
		}

		@Test
		void gatewayWhoseConnectionsAreSilentLearnsItWhenTheyAreReplaced() {
			SimulatedFleet fleet = startFleet();
			fleet.silenceConnections("gateway-5");
			fleet.order(ZONE, true);
			fleet.run(APPLY_MILLIS);
			assertEvacuated(fleet, true);
		}

		@Test
		void gatewayThatWasFrozenLearnsTheEndBeforeItServes() {
			SimulatedFleet fleet = startFleet();
			fleet.order(ZONE, true);
			fleet.run(2_000);
			fleet.freeze("gateway-5", 6_000);
			fleet.order(ZONE, false);
			fleet.run(6_000);
			for (int i = 0; i < 300; i++) {
				fleet.run(10);
				boolean ready = fleet.membership("gateway-5").servingState(fleet.nowMillis) == ServingState.READY;
				assertThat(ready && fleet.isEvacuated("gateway-5", ZONE)).isFalse();
			}
			assertEvacuated(fleet, false);
		}

		@Test
		void allProcessesThatAreKilledLearnItBeforeTheyServe() {
			SimulatedFleet fleet = startFleet();
			fleet.order(ZONE, true);
			fleet.run(2_000);
			List<String> names = List.of(fleet.names(true), fleet.names(false)).stream().flatMap(List::stream).toList();
			names.forEach(fleet::restart);
			for (int i = 0; i < 100; i++) {
				fleet.run(50);
				for (String name : fleet.names(false)) {
					boolean ready = fleet.membership(name).servingState(fleet.nowMillis) == ServingState.READY;
					assertThat(ready && !fleet.isEvacuated(name, ZONE)).as(name).isFalse();
				}
			}
			fleet.run(5_000);
			assertThat(fleet.readyCount()).isEqualTo(fleet.size());
			assertEvacuated(fleet, true);
		}

		@Test
		void newControlInstanceWithoutAReplicaLearnsItFromTheOthers() {
			SimulatedFleet fleet = startFleet();
			fleet.order(ZONE, true);
			fleet.run(2_000);
			fleet.stop("control-10");
			fleet.start("control-20", 20, true);
			fleet.run(APPLY_MILLIS);
			assertThat(fleet.isEvacuated("control-20", ZONE)).isTrue();
		}

	}

	@Nested
	class EarlierVersions {

		// An earlier version reads and sends no version of evacuations.
		@Test
		void messageWithoutTheFieldsChangesNothing() {
			Membership membership = new Membership(
					InstanceRecord.newBuilder().setName("gateway").setPeerAddress("gateway").build(),
					MembershipSettings.defaults(List.of("control")), (addresses, count) -> List.of());
			membership.tick(1_000);
			membership.drain();
			membership.receive(Gossip.newBuilder().setSender("control").setSenderAddress("control").build(), 1_100);
			MembershipEffects effects = membership.drain();
			assertThat(effects.evacuations()).isNull();
			assertThat(effects.messages()).noneMatch((message) -> message.envelope().hasEvacuations());
			assertThat(membership.evacuationsCurrentAtMillis()).isEqualTo(Freshness.UNKNOWN);
		}

	}

}
