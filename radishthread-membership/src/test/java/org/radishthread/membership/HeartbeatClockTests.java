package org.radishthread.membership;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link HeartbeatClock}.
 */
class HeartbeatClockTests {

	private static final long ORIGIN = 1_700_000_000_000L;

	private final HeartbeatClock clock = new HeartbeatClock();

	@Test
	void relayedHeartbeatIsDatedWhenItWasMade() {
		assertThat(this.clock.record(ORIGIN, 10_000)).isEqualTo(10_000);
		assertThat(this.clock.record(ORIGIN + 500, 12_300)).isEqualTo(10_501);
	}

	@Test
	void estimateImprovesWithTheFirstHeartbeatThatIsNotDelayed() {
		assertThat(this.clock.record(ORIGIN, 11_800)).isEqualTo(11_800);
		assertThat(this.clock.record(ORIGIN + 500, 10_501)).isEqualTo(10_501);
		assertThat(this.clock.record(ORIGIN + 1_000, 12_000)).isEqualTo(11_002);
	}

	@Test
	void clocksOfDifferentRatesDoNotDriftApart() {
		for (long millis = 0; millis < 86_400_000; millis += 500) {
			long made = this.clock.record(ORIGIN + millis - millis / 10_000, 10_000 + millis);
			assertThat(made).isCloseTo(10_000 + millis, within(2L));
		}
	}

	@Test
	void estimateIsNeverEarlierThanTheHeartbeat() {
		Random random = new Random(5);
		for (long millis = 0; millis < 600_000; millis += 1 + random.nextInt(1_000)) {
			long made = this.clock.record(ORIGIN + millis, 10_000 + millis + random.nextInt(2_000));
			assertThat(made).isGreaterThanOrEqualTo(10_000 + millis);
		}
	}

	@Test
	void instanceWhoseClockStoodStillIsDatedByTheArrival() {
		this.clock.record(ORIGIN, 10_000);
		assertThat(this.clock.record(ORIGIN + 500, 60_500)).isEqualTo(60_500);
		assertThat(this.clock.record(ORIGIN + 1_000, 61_000)).isEqualTo(61_000);
	}

}
