package org.radishthread.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RecentStarts}, and for {@link HomeAssignment} with instances that
 * started lately.
 */
class RecentStartsTests {

	private static final String SERVICE = "rotaboard";

	private static final long FIRST_START_MILLIS = 1_000_000;

	private static final long RESTART_MILLIS = FIRST_START_MILLIS + 60_000;

	private final Map<String, Long> startMillis = new HashMap<>();

	RecentStartsTests() {
		for (int i = 0; i < 12; i++) {
			this.startMillis.put("gateway-" + i, FIRST_START_MILLIS + 150L * i);
		}
	}

	private String homeAt(long nowMillis) {
		return HomeAssignment
			.rankInstances(SERVICE, List.copyOf(this.startMillis.keySet()),
					RecentStarts.find(this.startMillis, nowMillis))
			.get(0);
	}

	// Guards against requests that wait for a home which has just started and is slow,
	// although others could grant their slots.
	@Test
	void homeThatWasRestartedIsReplacedUntilItHasRunForSomeTime() {
		String home = homeAt(RESTART_MILLIS);
		this.startMillis.put(home, RESTART_MILLIS);
		assertThat(homeAt(RESTART_MILLIS + 500)).isNotEqualTo(home);
		assertThat(homeAt(RESTART_MILLIS + RecentStarts.RECENT_MILLIS - 1)).isNotEqualTo(home);
		assertThat(homeAt(RESTART_MILLIS + RecentStarts.RECENT_MILLIS)).isEqualTo(home);
	}

	@Test
	void endIsTheTimeFromWhichOnTheHomeIsAnotherOne() {
		this.startMillis.put("gateway-3", RESTART_MILLIS);
		this.startMillis.put("gateway-4", RESTART_MILLIS + 700);
		RecentStarts recentStarts = RecentStarts.find(this.startMillis, RESTART_MILLIS + 1_000);
		assertThat(recentStarts.instances()).containsExactlyInAnyOrder("gateway-3", "gateway-4");
		assertThat(recentStarts.endMillis()).isEqualTo(RESTART_MILLIS + RecentStarts.RECENT_MILLIS);
	}

	@Test
	void instancesThatAllStartedTogetherAreNotRecent() {
		for (long afterMillis = 0; afterMillis < 15_000; afterMillis += 100) {
			assertThat(RecentStarts.find(this.startMillis, FIRST_START_MILLIS + afterMillis))
				.isEqualTo(RecentStarts.NONE);
		}
	}

	@Test
	void instancesAreRecentAlsoIfMostWereRestarted() {
		for (int i = 0; i < 8; i++) {
			this.startMillis.put("gateway-" + i, RESTART_MILLIS + 100L * i);
		}
		assertThat(RecentStarts.find(this.startMillis, RESTART_MILLIS + 1_000).instances()).hasSize(8);
	}

	@Test
	void instancesAreNotRecentIfNearlyAllWereRestarted() {
		for (int i = 0; i < 11; i++) {
			this.startMillis.put("gateway-" + i, RESTART_MILLIS + 100L * i);
		}
		assertThat(RecentStarts.find(this.startMillis, RESTART_MILLIS + 1_000)).isEqualTo(RecentStarts.NONE);
	}

	@Test
	void noInstancesAreNotRecent() {
		assertThat(RecentStarts.find(Map.of(), FIRST_START_MILLIS)).isEqualTo(RecentStarts.NONE);
	}

}
