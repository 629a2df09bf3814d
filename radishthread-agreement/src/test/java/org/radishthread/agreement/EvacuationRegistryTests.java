package org.radishthread.agreement;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.EvacuationAnswer;
import org.radishthread.protocol.EvacuationOrder;
import org.radishthread.protocol.ZoneEvacuation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EvacuationRegistry}.
 */
class EvacuationRegistryTests {

	private static final String ZONE = "bastrop";

	private final EvacuationRegistry registry = new EvacuationRegistry();

	private EvacuationAnswer order(boolean evacuate, String operator, long knownVersion) {
		return this.registry.order(EvacuationOrder.newBuilder()
			.setZone(ZONE)
			.setEvacuate(evacuate)
			.setRequestedBy(operator)
			.setKnownVersion(knownVersion)
			.build(), 1_000 + this.registry.version());
	}

	private ZoneEvacuation zone() {
		return this.registry.evacuations().getZones(0);
	}

	@Nested
	class Orders {

		@Test
		void startIsInForceUntilTheEnd() {
			order(true, "ana", 0);
			assertThat(zone().getEvacuated()).isTrue();
			order(false, "tom", 1);
			assertThat(zone().getEvacuated()).isFalse();
			assertThat(zone().getRequestedBy()).isEqualTo("tom");
		}

		@Test
		void repeatedStartIsAcceptedAndKeepsTheFirstOperator() {
			order(true, "ana", 0);
			EvacuationAnswer answer = order(true, "tom", 1);
			assertThat(answer.getSuperseded()).isFalse();
			assertThat(zone().getRequestedBy()).isEqualTo("ana");
			assertThat(zone().getOrderedAtMillis()).isEqualTo(1_000);
		}

		@Test
		void endWithoutStartIsAcceptedAndEvacuatesNothing() {
			assertThat(order(false, "ana", 0).getSuperseded()).isFalse();
			assertThat(EvacuationRegistryTests.this.registry.evacuations().getZonesList())
				.noneMatch(ZoneEvacuation::getEvacuated);
		}

		@Test
		void otherZonesAreUnaffected() {
			order(true, "ana", 0);
			EvacuationRegistryTests.this.registry
				.order(EvacuationOrder.newBuilder().setZone("elgin").setEvacuate(false).build(), 2_000);
			assertThat(zone().getEvacuated()).isTrue();
		}

	}

	@Nested
	class LateOrders {

		@Test
		void copyOfAnAppliedStartDoesNotUndoTheEnd() {
			order(true, "ana", 0);
			order(false, "ana", 1);
			assertThat(order(true, "ana", 0).getSuperseded()).isTrue();
			assertThat(zone().getEvacuated()).isFalse();
		}

		@Test
		void endOfAnEarlierStartDoesNotUndoALaterOne() {
			order(true, "ana", 0);
			order(true, "ana", 1);
			assertThat(order(false, "ana", 1).getSuperseded()).isTrue();
			assertThat(zone().getEvacuated()).isTrue();
		}

		@Test
		void startThatIsAppliedAfterTheEndOfAStartThatGotNoAnswerHasNoEffect() {
			order(false, "ana", 0);
			assertThat(order(true, "ana", 0).getSuperseded()).isTrue();
			assertThat(zone().getEvacuated()).isFalse();
		}

		@Test
		void lateOrderForTheStateInForceIsNotSuperseded() {
			order(true, "ana", 0);
			assertThat(order(true, "ana", 0).getSuperseded()).isFalse();
			assertThat(EvacuationRegistryTests.this.registry.version()).isEqualTo(1);
		}

	}

	@Nested
	class NewGroups {

		@Test
		void versionIsHigherThanThatOfTheFormerGroup() {
			EvacuationRegistry newRegistry = new EvacuationRegistry();
			EvacuationOrder order = EvacuationOrder.newBuilder()
				.setZone("elgin")
				.setEvacuate(true)
				.setKnownVersion(5)
				.setKnownStateVersion(5)
				.build();
			assertThat(newRegistry.order(order, 0).getEvacuations().getVersion()).isEqualTo(6);
		}

	}

	@Nested
	class Snapshots {

		@Test
		void restoredRegistryHasTheSameStateAndVersions() {
			order(true, "ana", 0);
			ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
			EvacuationRegistryTests.this.registry.writeTo(snapshot);
			EvacuationRegistry restored = new EvacuationRegistry();
			restored.restore(snapshot.build());
			assertThat(restored.evacuations()).isEqualTo(EvacuationRegistryTests.this.registry.evacuations());
		}

		@Test
		void snapshotWithoutOrdersIsAsBefore() {
			ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder();
			EvacuationRegistryTests.this.registry.writeTo(snapshot);
			assertThat(snapshot.build().getSerializedSize()).isZero();
		}

		@Test
		void zonesInUseAreForgottenFirst() {
			order(true, "ana", 0);
			for (int i = 0; i < 2 * EvacuationRegistry.RETAINED_ZONES; i++) {
				EvacuationRegistryTests.this.registry.order(EvacuationOrder.newBuilder().setZone("zone-" + i).build(),
						2_000);
			}
			assertThat(EvacuationRegistryTests.this.registry.zoneCount()).isEqualTo(EvacuationRegistry.RETAINED_ZONES);
			assertThat(zone().getZone()).isEqualTo(ZONE);
		}

	}

}
