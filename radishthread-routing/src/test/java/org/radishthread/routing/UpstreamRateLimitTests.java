package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for upstreams that name a limit of requests per second.
 */
class UpstreamRateLimitTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long SERVICE_MILLIS = 20;

	// The platform expects the limit to hold this long after it was named first.
	private static final long STABLE_MILLIS = 3_000;

	private static final long WINDOW_MILLIS = 4_000;

	// Guards against an upstream in need that gets several times the requests that it
	// said it can take.
	@ParameterizedTest
	@ValueSource(doubles = { 0.5, 2.3, 10, 40 })
	void homeGrantsNoMoreThanTheLimitOfAnUpstream(double limitPerSecond) {
		ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);
		router.updateUpstreams(List.of(new Upstream("limited", "127.0.0.1:1", "bastrop", 3, 1, true),
				new Upstream("other", "127.0.0.1:2", "bastrop", 3, 1, true)), 0);
		List<Long> sentMillis = new ArrayList<>();
		Deque<RoutingEffect.Dispatch> attempts = new ArrayDeque<>();
		Deque<Long> endMillis = new ArrayDeque<>();
		long requestId = 0;
		for (long nowMillis = 0; nowMillis < 12_000; nowMillis++) {
			long nowNanos = nowMillis * NANOS_PER_MILLI;
			List<RoutingEffect> effects = new ArrayList<>();
			while (!endMillis.isEmpty() && endMillis.peek() <= nowMillis) {
				endMillis.remove();
				RoutingEffect.Dispatch attempt = attempts.remove();
				boolean limited = attempt.upstream().name().equals("limited");
				effects.addAll(router.completeAttempt(attempt.requestId(), attempt.upstream().name(),
						AttemptResult.SUCCESS, limited ? LoadReport.limitedTo(limitPerSecond) : null, nowNanos));
				router.close(attempt.requestId());
			}
			if (nowMillis % 5 == 0) {
				requestId++;
				effects.addAll(router.admit(new RoutingRequest(requestId, "caller", true,
						(nowMillis + 800) * NANOS_PER_MILLI, "", Urgency.NORMAL, 2, "gateway"), nowNanos));
			}
			effects.addAll(router.tick(nowNanos));
			for (RoutingEffect effect : effects) {
				if (effect instanceof RoutingEffect.Dispatch dispatch) {
					attempts.add(dispatch);
					endMillis.add(nowMillis + SERVICE_MILLIS);
					if (dispatch.upstream().name().equals("limited")) {
						sentMillis.add(nowMillis);
					}
				}
			}
		}
		assertWithinLimit(sentMillis, limitPerSecond);
	}

	private static void assertWithinLimit(List<Long> sentMillis, double limitPerSecond) {
		assertThat(sentMillis).isNotEmpty();
		for (long startMillis = STABLE_MILLIS; startMillis < 8_000; startMillis += 50) {
			long start = startMillis;
			long count = sentMillis.stream()
				.filter((millis) -> millis >= start && millis < start + WINDOW_MILLIS)
				.count();
			assertThat((double) count).as("requests in 4 s from %d ms", startMillis)
				.isLessThanOrEqualTo(1.5 * limitPerSecond * WINDOW_MILLIS / 1_000 + 5);
		}
	}

}
