package org.radishthread.membership;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for gateways whose connections lose all messages without notice before
 * the withdrawal of an upstream is confirmed: they stop using the upstream in time, or
 * accept no requests.
 */
class WithdrawalSilenceProperties {

	private static final String UPSTREAM = "rotaboard-1";

	// The platform expects that an upstream is sent nothing this long after its
	// withdrawal was confirmed.
	private static final long DRAIN_MILLIS = 2_000;

	// The platform expects instances to keep its bounds again this long after their
	// connections went silent.
	private static final long RECOVERY_MILLIS = 3_000;

	private static final long START_MILLIS = 8_000;

	private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;

	private static final long WITHDRAWAL_DELAY_MILLIS = 3_500;

	private static final int CONTROL_COUNT = 5;

	private static final int GATEWAY_COUNT = 16;

	// Guards against a gateway that sends requests to an upstream later than the bound
	// after the withdrawal was confirmed, because its connections had gone silent.
	@Property(tries = 60)
	void gatewaysStopUsingTheUpstreamInTime(@ForAll @IntRange(min = 0, max = 2_500) int silenceMillisBefore,
			@ForAll @IntRange(min = 0, max = CONTROL_COUNT - 1) int control,
			@ForAll @IntRange(min = 0, max = 10_000) int seed) {
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, GATEWAY_COUNT, seed);
		withdrawAfterSilence(fleet, silenceMillisBefore, "control-" + control, seed);
		fleet.run(DRAIN_MILLIS);
		assertThat(fleet.gatewaysUsing(UPSTREAM)).isEmpty();
	}

	// Guards against the same at gateways whose connections went silent longer ago than
	// the platform allows for.
	@Property(tries = 60)
	void gatewaysStopUsingTheUpstreamAfterTheSilence(@ForAll @IntRange(min = 0, max = 2_500) int silenceMillisBefore,
			@ForAll @IntRange(min = 0, max = CONTROL_COUNT - 1) int control,
			@ForAll @IntRange(min = 0, max = 10_000) int seed) {
		SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, GATEWAY_COUNT, seed);
		long silentAtMillis = withdrawAfterSilence(fleet, silenceMillisBefore, "control-" + control, seed);
		fleet.run(Math.max(DRAIN_MILLIS, silentAtMillis + RECOVERY_MILLIS - fleet.nowMillis));
		assertThat(fleet.gatewaysUsing(UPSTREAM)).isEmpty();
	}

	// Runs until the withdrawal is confirmed, and returns when the connections went
	// silent.
	private static long withdrawAfterSilence(SimulatedFleet fleet, int silenceMillisBefore, String control, int seed) {
		fleet.acceptRules(1);
		fleet.run(START_MILLIS);
		long withdrawnAtMillis = fleet.nowMillis + WITHDRAWAL_DELAY_MILLIS;
		Random random = new Random(seed);
		while (!fleet.isWithdrawalConfirmed(UPSTREAM)) {
			long remainingMillis = withdrawnAtMillis - fleet.nowMillis;
			if (remainingMillis > 0
					&& (WITHDRAWAL_DELAY_MILLIS - remainingMillis) % ANNOUNCEMENT_INTERVAL_MILLIS == 0) {
				fleet.announce(UPSTREAM);
			}
			if (remainingMillis == silenceMillisBefore) {
				assertThat(fleet.gatewaysUsing(UPSTREAM)).hasSize(GATEWAY_COUNT);
				fleet.names(false).stream().filter((name) -> random.nextBoolean()).forEach(fleet::silenceConnections);
			}
			if (remainingMillis == 0) {
				fleet.withdraw(control, UPSTREAM);
			}
			assertThat(remainingMillis).as("time until the withdrawal").isGreaterThan(-RECOVERY_MILLIS);
			fleet.run(1);
		}
		return withdrawnAtMillis - silenceMillisBefore;
	}

}
