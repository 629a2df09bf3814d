package org.radishthread.membership;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for gateways under faults that overlap around the acceptance of rules.
 */
class RulesFreshnessProperties {

	// The platform expects accepted rules to be in force everywhere after this time.
	private static final long APPLY_MILLIS = 2_000;

	// The platform expects instances to keep its bounds again this long after the last
	// fault.
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long START_MILLIS = 8_000;

	private static final long ACCEPTANCE_DELAY_MILLIS = 3_000;

	private static final int CONTROL_COUNT = 5;

	// Guards against a definite refusal by a gateway that lacks an accepted revision but
	// takes its rules for the newest ones.
	@Property(tries = 100)
	void noGatewayTakesOutdatedRulesForTheNewestOnes(@ForAll @Size(min = 1, max = 3) List<Fault> faults,
			@ForAll @IntRange(min = 0, max = 10_000) int seed) {
		checkRules(faults, seed);
	}

	private static void checkRules(List<Fault> faults, int seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, 14, seed);
		fleet.acceptRules(1);
		fleet.run(START_MILLIS);
		long acceptedAtMillis = fleet.nowMillis + ACCEPTANCE_DELAY_MILLIS;
		long[] faultMillis = faults.stream()
			.mapToLong((fault) -> acceptedAtMillis - 2_500 + random.nextInt(4_000))
			.toArray();
		long recoveredMillis = acceptedAtMillis + APPLY_MILLIS;
		while (fleet.nowMillis < recoveredMillis) {
			if (fleet.nowMillis == acceptedAtMillis) {
				fleet.acceptRules(2);
			}
			for (int i = 0; i < faultMillis.length; i++) {
				if (fleet.nowMillis == faultMillis[i]) {
					long endMillis = fleet.nowMillis + faults.get(i).inject(fleet, random);
					recoveredMillis = Math.max(recoveredMillis, endMillis + RECOVERY_MILLIS);
				}
			}
			fleet.run(1);
			checkFreshness(fleet, acceptedAtMillis);
		}
		for (String name : fleet.names(false)) {
			boolean ready = fleet.membership(name).servingState(fleet.nowMillis) == ServingState.READY;
			assertThat(!ready || fleet.membership(name).appliedRules().getRevision() == 2).as(name).isTrue();
		}
	}

	private static void checkFreshness(SimulatedFleet fleet, long acceptedAtMillis) {
		for (String name : fleet.names(false)) {
			Membership gateway = fleet.membership(name);
			if (gateway.rulesCurrentAtMillis() > acceptedAtMillis) {
				assertThat(gateway.appliedRules().getRevision()).as(name).isEqualTo(2);
			}
		}
	}

	// Guards against a gateway that still applies the former rules 3 s after the last of
	// several silences, because each silence doubled the time until it left a control
	// instance.
	@Group
	class SilencesInSeries {

		@Example
		void three() {
			checkRules(Collections.nCopies(3, Fault.SILENT_CONNECTIONS), 390);
		}

		@Example
		void two() {
			checkRules(Collections.nCopies(2, Fault.SILENT_CONNECTIONS), 7_256);
		}

		@Example
		void twoAndAFrozenGateway() {
			checkRules(List.of(Fault.SILENT_CONNECTIONS, Fault.SILENT_CONNECTIONS, Fault.FROZEN_GATEWAY), 3_077);
		}

		@Example
		void twoWithPartitionedControlInstances() {
			checkRules(List.of(Fault.PARTITIONED_CONTROL_INSTANCES, Fault.SILENT_CONNECTIONS,
					Fault.SILENT_INBOUND_CONNECTIONS), 3_276);
		}

	}

	private enum Fault {

		SILENT_CONNECTIONS {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				forHalf(fleet.names(false), random, fleet::silenceConnections);
				forHalf(fleet.names(true), random, fleet::silenceConnections);
				return 0;
			}

		},

		SILENT_OUTBOUND_CONNECTIONS {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				forHalf(fleet.names(false), random, fleet::silenceOutboundConnections);
				return 0;
			}

		},

		SILENT_INBOUND_CONNECTIONS {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				forHalf(fleet.names(false), random, fleet::silenceInboundConnections);
				return 0;
			}

		},

		FROZEN_GATEWAY {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				return freeze(fleet, fleet.names(false), random);
			}

		},

		FROZEN_CONTROL_INSTANCE {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				return freeze(fleet, fleet.names(true), random);
			}

		},

		RESTARTED_CONTROL_INSTANCES {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				forHalf(fleet.names(true), random, fleet::restart);
				return START_SPREAD_MILLIS;
			}

		},

		PARTITIONED_CONTROL_INSTANCES {

			@Override
			long inject(SimulatedFleet fleet, Random random) {
				int first = random.nextInt(CONTROL_COUNT);
				int second = (first + 1 + random.nextInt(CONTROL_COUNT - 1)) % CONTROL_COUNT;
				if (!fleet.isPartitioned()) {
					fleet.cutOff(Set.of("control-" + first, "control-" + second));
				}
				return 0;
			}

		};

		private static final int MAXIMUM_FREEZE_MILLIS = 4_000;

		private static final long START_SPREAD_MILLIS = 300;

		// Returns how long the fault lasts, in milliseconds.
		abstract long inject(SimulatedFleet fleet, Random random);

		private static void forHalf(List<String> names, Random random, Consumer<String> action) {
			names.stream().filter((name) -> random.nextBoolean()).forEach(action);
		}

		private static long freeze(SimulatedFleet fleet, List<String> names, Random random) {
			int durationMillis = random.nextInt(MAXIMUM_FREEZE_MILLIS);
			fleet.freeze(names.get(random.nextInt(names.size())), durationMillis);
			return durationMillis;
		}

	}

}
