package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the retry budget of an instance that stands in for a home.
 */
class SubstituteBudgetTests {

	private static final int REQUEST_COUNT = 20;

	private static final long INTERVAL_NANOS = 10_000_000;

	private static int countRetries(boolean substituted) {
		ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);
		router.updateUpstreams(List.of(upstream("one"), upstream("two"), upstream("three")), 0);
		int retries = 0;
		for (int number = 1; number <= REQUEST_COUNT; number++) {
			long nowNanos = number * INTERVAL_NANOS;
			RoutingRequest request = new RoutingRequest(number, "caller", true, nowNanos + 10_000_000_000L);
			RoutingEffect.Dispatch dispatch = (RoutingEffect.Dispatch) router
				.admit(substituted ? request.substitute() : request, nowNanos)
				.get(0);
			router.completeAttempt(number, dispatch.upstream().name(), AttemptResult.SHED, nowNanos);
			retries += router.retry(number, nowNanos).stream().anyMatch(RoutingEffect.Dispatch.class::isInstance) ? 1
					: 0;
			router.close(number);
		}
		return retries;
	}

	private static Upstream upstream(String name) {
		return new Upstream(name, "127.0.0.1:1", "bastrop", 100, 1, true);
	}

	// Guards against more retries than all instances may make together (BUDGET), because
	// each instance that stands in for a home draws on the slack.
	@Test
	void instanceThatStandsInForAHomeRetriesByTheRatioOnly() {
		int byRatio = (int) (REQUEST_COUNT * RetryLimits.DEFAULTS.ratio());
		assertThat(countRetries(true)).isLessThanOrEqualTo(byRatio);
		assertThat(countRetries(false)).isGreaterThan(byRatio);
	}

}
