package org.radishthread.membership;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for connections that go silent several times within seconds, at any time
 * around the acceptance of rules.
 */
class SilentConnectionSeriesProperties {

	// The platform expects accepted rules to be in force everywhere after this time.
	private static final long APPLY_MILLIS = 2_000;

	// The platform expects instances to keep its bounds again this long after the last
	// silence.
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long START_MILLIS = 8_000;

	private static final long ACCEPTANCE_DELAY_MILLIS = 5_000;

	private static final int CONTROL_COUNT = 5;

	private static final int GATEWAY_COUNT = 14;

	// Guards against a confirmed revision that is not in force in time at a gateway whose
	// connections went silent several times before.
	@Property(tries = 60)
	void gatewaysApplyRulesInTimeAfterTheLastSilence(@ForAll @Size(min = 2, max = 4) List<Silence> silences,
			@ForAll @IntRange(min = 0, max = 100_000) int seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, GATEWAY_COUNT, seed);
		fleet.acceptRules(1);
		fleet.run(START_MILLIS);
		long acceptedAtMillis = fleet.nowMillis + ACCEPTANCE_DELAY_MILLIS;
		long[] silentAtMillis = new long[silences.size()];
		silentAtMillis[0] = acceptedAtMillis - 4_500 + random.nextInt(6_000);
		for (int i = 1; i < silentAtMillis.length; i++) {
			silentAtMillis[i] = silentAtMillis[i - 1] + 50 + random.nextInt(2_000);
		}
		long checkedAtMillis = Math.max(acceptedAtMillis + APPLY_MILLIS,
				silentAtMillis[silentAtMillis.length - 1] + RECOVERY_MILLIS);
		while (fleet.nowMillis < checkedAtMillis) {
			if (fleet.nowMillis == acceptedAtMillis) {
				fleet.acceptRules(2);
			}
			for (int i = 0; i < silentAtMillis.length; i++) {
				if (fleet.nowMillis == silentAtMillis[i]) {
					silences.get(i).begin(fleet, random);
				}
			}
			fleet.run(1);
			checkFreshness(fleet, acceptedAtMillis);
		}
		for (String name : fleet.names(false)) {
			assertThat(fleet.membership(name).appliedRules().getRevision()).as(name).isEqualTo(2);
			assertThat(fleet.membership(name).servingState(fleet.nowMillis)).as(name).isEqualTo(ServingState.READY);
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

	private enum Silence {

		ALL {

			@Override
			void begin(SimulatedFleet fleet, Random random) {
				names(fleet).forEach(fleet::silenceConnections);
			}

		},

		HALF {

			@Override
			void begin(SimulatedFleet fleet, Random random) {
				forHalf(fleet, random, fleet::silenceConnections);
			}

		},

		OUTBOUND {

			@Override
			void begin(SimulatedFleet fleet, Random random) {
				forHalf(fleet, random, fleet::silenceOutboundConnections);
			}

		},

		INBOUND {

			@Override
			void begin(SimulatedFleet fleet, Random random) {
				forHalf(fleet, random, fleet::silenceInboundConnections);
			}

		};

		abstract void begin(SimulatedFleet fleet, Random random);

		private static List<String> names(SimulatedFleet fleet) {
			return Stream.concat(fleet.names(false).stream(), fleet.names(true).stream()).toList();
		}

		private static void forHalf(SimulatedFleet fleet, Random random, Consumer<String> action) {
			names(fleet).stream().filter((name) -> random.nextBoolean()).forEach(action);
		}

	}

}
