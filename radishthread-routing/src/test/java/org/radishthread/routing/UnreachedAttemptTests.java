package org.radishthread.routing;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for attempts that could not connect to their upstream: the request has reached
 * nothing, so they are charged neither to it nor to the retry budget.
 */
class UnreachedAttemptTests {

	private static final int UPSTREAM_COUNT = 10;

	private static final int MAXIMUM_ATTEMPTS = 2;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long DEADLINE_NANOS = 60_000 * NANOS_PER_MILLI;

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("service"), "zone-0", 1, 0);

	private long nowNanos;

	private long lastRequestId;

	UnreachedAttemptTests() {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < UPSTREAM_COUNT; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:1", "zone-0", 3, 1, true));
		}
		this.router.updateUpstreams(upstreams, 0);
	}

	private Dispatch admit() {
		return dispatch(this.router.admit(new RoutingRequest(++this.lastRequestId, "caller", true, DEADLINE_NANOS, "",
				Urgency.NORMAL, MAXIMUM_ATTEMPTS), this.nowNanos));
	}

	private static Dispatch dispatch(List<RoutingEffect> effects) {
		return effects.stream()
			.filter(Dispatch.class::isInstance)
			.map(Dispatch.class::cast)
			.findFirst()
			.orElseThrow(() -> new AssertionError("No dispatch in " + effects));
	}

	private void complete(Dispatch dispatch, AttemptResult result) {
		this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), result, this.nowNanos);
	}

	private List<RoutingEffect> failAndRetry(Dispatch dispatch) {
		this.nowNanos += 300 * NANOS_PER_MILLI;
		complete(dispatch, AttemptResult.UNREACHABLE);
		return this.router.retry(dispatch.requestId(), this.nowNanos);
	}

	@Nested
	class AttemptsOfARequest {

		// Incident 1 of brazos-rota-grown: a request that could not connect twice was
		// refused with most of its time left, though it had run nowhere.
		@Test
		void requestThatCouldNotConnectTwiceIsSentAgain() {
			Dispatch second = dispatch(failAndRetry(admit()));
			Dispatch third = dispatch(failAndRetry(second));
			complete(third, AttemptResult.SUCCESS);
			assertThat(third.upstream().name()).isNotEqualTo(second.upstream().name());
		}

		@Test
		void attemptsThatReachedAnUpstreamStayLimited() {
			Dispatch second = dispatch(failAndRetry(admit()));
			complete(second, AttemptResult.SHED);
			Dispatch third = dispatch(
					UnreachedAttemptTests.this.router.retry(second.requestId(), UnreachedAttemptTests.this.nowNanos));
			complete(third, AttemptResult.SHED);
			assertThat(UnreachedAttemptTests.this.router.retry(third.requestId(), UnreachedAttemptTests.this.nowNanos))
				.singleElement()
				.isInstanceOfSatisfying(Refusal.class,
						(refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.ATTEMPTS_USED));
		}

		@Test
		void requestDoesNotTryAllUpstreamsOfAServiceThatIsDown() {
			Dispatch dispatch = admit();
			int attempts = 1;
			List<RoutingEffect> effects = failAndRetry(dispatch);
			while (effects.stream().anyMatch(Dispatch.class::isInstance)) {
				attempts++;
				effects = failAndRetry(dispatch(effects));
			}
			assertThat(attempts).isLessThan(UPSTREAM_COUNT);
		}

	}

	@Nested
	class BudgetOfTheService {

		// Incident 1 of brazos-rota-grown: hedges of partitioned gateways that reached
		// nothing used up the retries of all callers.
		@Test
		void hedgesThatCouldNotConnectTakeNothingFromTheBudget() {
			completeAtOnce();
			List<Dispatch> hedges = new ArrayList<>();
			for (int i = 0; i < 200; i++) {
				// Keeps the usual duration below that of the attempts that are hedged.
				completeAtOnce();
				Dispatch first = admit();
				UnreachedAttemptTests.this.nowNanos += 10 * NANOS_PER_MILLI;
				Dispatch hedge = dispatch(UnreachedAttemptTests.this.router.hedge(first.requestId(),
						UnreachedAttemptTests.this.nowNanos));
				hedges.add(hedge);
				complete(hedge, AttemptResult.UNREACHABLE);
				complete(first, AttemptResult.SUCCESS);
				UnreachedAttemptTests.this.router.recordConnectionProbe(hedge.upstream().name(), true,
						UnreachedAttemptTests.this.nowNanos);
				UnreachedAttemptTests.this.router.close(first.requestId());
			}
			assertThat(hedges).hasSize(200);
		}

		private void completeAtOnce() {
			Dispatch dispatch = admit();
			complete(dispatch, AttemptResult.SUCCESS);
			UnreachedAttemptTests.this.router.close(dispatch.requestId());
		}

	}

}
