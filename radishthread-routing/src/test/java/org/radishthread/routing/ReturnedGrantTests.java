package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for grants that an instance returns without an attempt, because it knows that the
 * upstream must get no requests now.
 */
class ReturnedGrantTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long REQUEST_ID = 7;

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);

	ReturnedGrantTests() {
		this.router.updateUpstreams(List.of(upstream("one"), upstream("two")), 0);
	}

	private static Upstream upstream(String name) {
		return new Upstream(name, "127.0.0.1:1", "bastrop", 2, 1, true);
	}

	// Guards against requests that are refused for lack of attempts although none was
	// made.
	@Test
	void returnedGrantIsNoAttempt() {
		RoutingRequest request = new RoutingRequest(REQUEST_ID, "caller", true, 10_000 * NANOS_PER_MILLI, "",
				Urgency.NORMAL, 1, "10.0.0.1:7620");
		RoutingEffect.Dispatch first = (RoutingEffect.Dispatch) this.router.admit(request, 0).get(0);
		this.router.completeAttempt(REQUEST_ID, first.upstream().name(), AttemptResult.RETURNED,
				LoadReport.refusedFor(500), NANOS_PER_MILLI);
		assertThat(this.router.retry(REQUEST_ID, NANOS_PER_MILLI)).singleElement()
			.isInstanceOfSatisfying(RoutingEffect.Dispatch.class,
					(second) -> assertThat(second.upstream()).isNotEqualTo(first.upstream()));
	}

	// Guards against a home that keeps the token of a workspace for a request that was
	// sent nowhere.
	@Test
	void returnedGrantHasNotRun() {
		assertThat(AttemptResult.RETURNED.hasNotRun()).isTrue();
		assertThat(AttemptResult.RETURNED.mayHaveArrived()).isFalse();
		assertThat(AttemptResult.RETURNED.countsAgainstUpstream()).isFalse();
	}

}
