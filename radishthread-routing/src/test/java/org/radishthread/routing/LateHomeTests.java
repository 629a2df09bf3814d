package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for requests that their gateways have taken back, because the home responded too
 * late.
 */
class LateHomeTests {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final int REQUEST_COUNT = 100;

	private static final double RATIO = 0.2;

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"),
			new RouterSettings("zone-1", 4, new RetryLimits(RATIO, 0, 10), 500), 0);

	private long lastRequestId;

	LateHomeTests() {
		this.router.updateUpstreams(List.of(new Upstream("one", "10.0.0.1:80", "zone-1", 6, 1, true),
				new Upstream("two", "10.0.0.2:80", "zone-1", 6, 1, true)), 0);
	}

	private Dispatch admit() {
		long requestId = ++this.lastRequestId;
		List<RoutingEffect> effects = this.router
			.admit(new RoutingRequest(requestId, "caller-" + requestId, true, 5 * NANOS_PER_SECOND), 0);
		return (Dispatch) effects.get(0);
	}

	private RoutingEffect retryAfterFailure() {
		Dispatch failed = admit();
		this.router.completeAttempt(failed.requestId(), failed.upstream().name(), AttemptResult.FAILURE, 0);
		return this.router.retry(failed.requestId(), 0).get(0);
	}

	// Guards against retries beyond the limit that all instances share: the request
	// counted at the home, and again at the gateway that routed it.
	@Test
	void requestThatItsGatewayTookBackAllowsNoRetries() {
		this.router.updateUpstreams(List.of(new Upstream("one", "10.0.0.1:80", "zone-1", 6, 1, true),
				new Upstream("two", "10.0.0.2:80", "zone-1", 6, 1, true)), 0);
		for (int request = 0; request < REQUEST_COUNT; request++) {
			Dispatch dispatch = admit();
			this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.CANCELLED, 0);
			this.router.takeBack(dispatch.requestId());
			this.router.close(dispatch.requestId());
		}
		assertThat(retryAfterFailure()).isInstanceOfSatisfying(RoutingEffect.Refusal.class,
				(refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.RETRY_BUDGET));
	}

	@Test
	void requestWhoseCallerGaveUpCounts() {
		for (int request = 0; request < REQUEST_COUNT; request++) {
			Dispatch dispatch = admit();
			this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.CANCELLED, 0);
			this.router.close(dispatch.requestId());
		}
		assertThat(retryAfterFailure()).isInstanceOf(Dispatch.class);
	}

}
