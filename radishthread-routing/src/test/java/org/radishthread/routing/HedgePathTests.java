package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the path of a hedge, from the instance that received the request or through
 * another one.
 */
class HedgePathTests {

	private static final String GATEWAY = "gateway-1";

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Longer than any attempt of the tests takes.
	private static final long OVERDUE_NANOS = 150 * NANOS_PER_MILLI;

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("service"), "zone-0", 16, 0);

	HedgePathTests() {
		this.router.updateUpstreams(List.of(new Upstream("upstream-0", "127.0.0.1:1", "zone-0", 3, 1, true),
				new Upstream("upstream-1", "127.0.0.1:2", "zone-0", 3, 1, true)), 0);
		Dispatch dispatch = admit(1, "", 0);
		this.router.completeAttempt(1, dispatch.upstream().name(), AttemptResult.SUCCESS, 60 * NANOS_PER_MILLI);
	}

	private Dispatch admit(long requestId, String origin, long nowNanos) {
		return (Dispatch) this.router
			.admit(new RoutingRequest(requestId, "caller", true, 10_000 * NANOS_PER_MILLI, "", Urgency.NORMAL, 2,
					origin), nowNanos)
			.get(0);
	}

	private Dispatch hedge(long requestId, long nowNanos) {
		return (Dispatch) this.router.hedge(requestId, nowNanos).get(0);
	}

	// Incident 1 of brazos-rota-grown: every hedge went through another instance, so that
	// it took a second hop and told nothing about the gateway's own path.
	@Test
	void hedgeOfASlowAttemptIsSentByTheInstanceThatReceivedTheRequest() {
		assertThat(admit(2, GATEWAY, 100 * NANOS_PER_MILLI).relay()).isNull();
		assertThat(hedge(2, 200 * NANOS_PER_MILLI).relay()).isNull();
	}

	@Test
	void hedgeAfterOneThatCouldNotConnectIsRelayed() {
		this.router.updateUpstreams(List.of(new Upstream("upstream-0", "127.0.0.1:1", "zone-0", 3, 1, true),
				new Upstream("upstream-1", "127.0.0.1:2", "zone-0", 3, 1, true),
				new Upstream("upstream-2", "127.0.0.1:3", "zone-0", 3, 1, true)), 90 * NANOS_PER_MILLI);
		admit(2, GATEWAY, 100 * NANOS_PER_MILLI);
		Dispatch unreached = hedge(2, 200 * NANOS_PER_MILLI);
		this.router.completeAttempt(2, unreached.upstream().name(), AttemptResult.UNREACHABLE, 500 * NANOS_PER_MILLI);
		assertThat(hedge(2, 510 * NANOS_PER_MILLI).relay()).isEqualTo(UpstreamPaths.HOME);
	}

	// Incident 1 of brazos-rota-grown: requests on connections that had gone silent
	// waited until their deadline, because other hedges had used up the budget for
	// hedges.
	@Test
	void attemptOfAPartitionedGatewayIsRepeatedLikeAFailedOne() {
		long requestId = 10;
		long nowNanos = 100 * NANOS_PER_MILLI;
		while (hasHedge(requestId, nowNanos)) {
			requestId++;
			nowNanos += OVERDUE_NANOS;
		}
		nowNanos += OVERDUE_NANOS;
		this.router.recordReachability(GATEWAY, true, nowNanos);
		assertThat(hedge(requestId, nowNanos).relay()).isEqualTo(UpstreamPaths.HOME);
	}

	// Hedges a request that takes longer than usual, and completes both attempts if that
	// is allowed.
	private boolean hasHedge(long requestId, long startNanos) {
		String upstream = admit(requestId, GATEWAY, startNanos).upstream().name();
		long nowNanos = startNanos + OVERDUE_NANOS;
		List<RoutingEffect> effects = this.router.hedge(requestId, nowNanos);
		if (effects.isEmpty()) {
			return false;
		}
		String hedgedUpstream = ((Dispatch) effects.get(0)).upstream().name();
		this.router.completeAttempt(requestId, upstream, AttemptResult.SUCCESS, nowNanos);
		this.router.completeAttempt(requestId, hedgedUpstream, AttemptResult.SUCCESS, nowNanos);
		this.router.close(requestId);
		return true;
	}

}
