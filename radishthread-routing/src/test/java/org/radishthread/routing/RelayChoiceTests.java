package org.radishthread.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the choice of the instance that relays the attempts of a partitioned gateway.
 */
class RelayChoiceTests {

	private static final String PARTITIONED = "gateway-0";

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("service"), "zone-0", 16, 0);

	private long lastRequestId;

	RelayChoiceTests() {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:" + (1 + i), "zone-0", 3, 1, true));
		}
		this.router.updateUpstreams(upstreams, 0);
	}

	private Dispatch admit(String origin, boolean home, long nowNanos) {
		RoutingRequest request = new RoutingRequest(++this.lastRequestId, "caller", true,
				nowNanos + 10 * NANOS_PER_SECOND, "", Urgency.NORMAL, 2, origin);
		return (Dispatch) this.router.admit(request, home, nowNanos).get(0);
	}

	private void complete(Dispatch dispatch, AttemptResult result, long nowNanos) {
		this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), result, nowNanos);
	}

	@Nested
	class AtTheHome {

		// Incident 1 of brazos-rota-grown: relays were chosen by load only, so that half
		// of them were partitioned themselves.
		@Test
		void instancesThatReachedAnUpstreamLatelyArePreferred() {
			for (int i = 1; i < 10; i++) {
				Dispatch dispatch = admit("gateway-" + i, true, 0);
				if (i >= 8) {
					complete(dispatch, AttemptResult.SUCCESS, NANOS_PER_SECOND);
				}
			}
			RelayChoiceTests.this.router.recordReachability(PARTITIONED, true, NANOS_PER_SECOND);
			Set<String> relays = new HashSet<>();
			for (int i = 0; i < 4; i++) {
				relays.add(admit(PARTITIONED, true, NANOS_PER_SECOND).relay());
			}
			assertThat(relays).containsExactlyInAnyOrder("gateway-8", "gateway-9");
		}

		// Incident 1 of brazos-rota-grown: a relay that could not reach the upstream was
		// asked again for the next attempt, within milliseconds.
		@Test
		void relayThatFailedIsNotAskedAgainForTheRequest() {
			for (int i = 1; i < 4; i++) {
				complete(admit("gateway-" + i, true, 0), AttemptResult.SUCCESS, 0);
			}
			RelayChoiceTests.this.router.recordReachability(PARTITIONED, true, 0);
			Dispatch dispatch = admit(PARTITIONED, true, 0);
			// The relays of other requests are busy, so that the one that fails at once
			// has the fewest attempts in flight.
			for (int i = 0; i < 3; i++) {
				admit(PARTITIONED, true, 0);
			}
			Set<String> relays = new HashSet<>(Set.of(dispatch.relay()));
			for (int i = 0; i < 2; i++) {
				complete(dispatch, AttemptResult.UNREACHABLE, 0);
				dispatch = (Dispatch) RelayChoiceTests.this.router.retry(dispatch.requestId(), 0).get(0);
				relays.add(dispatch.relay());
			}
			assertThat(relays).hasSize(3);
		}

		@Test
		void instanceThatReportsItsPartitionDoesNotRelay() {
			for (int i = 1; i < 4; i++) {
				complete(admit("gateway-" + i, true, 0), AttemptResult.SUCCESS, 0);
			}
			RelayChoiceTests.this.router.recordReachability("gateway-1", true, 0);
			RelayChoiceTests.this.router.recordReachability("gateway-2", true, 0);
			RelayChoiceTests.this.router.recordReachability(PARTITIONED, true, 0);
			for (int i = 0; i < 5; i++) {
				assertThat(admit(PARTITIONED, true, 0).relay()).isIn(UpstreamPaths.HOME, "gateway-3");
			}
		}

	}

	@Nested
	class WithoutTheHome {

		// Incident 1 of brazos-rota-grown: a partitioned gateway whose home was
		// unavailable had no relay.
		@Test
		void attemptsOfAPartitionedGatewayAreRelayed() {
			RelayChoiceTests.this.router.updateInstances(List.of("gateway-1", "gateway-2"));
			RelayChoiceTests.this.router.recordReachability(UpstreamPaths.HOME, true, 0);
			assertThat(admit(UpstreamPaths.HOME, false, 0).relay()).isIn("gateway-1", "gateway-2");
		}

		// Incident 1 of brazos-rota-grown: at full size 1,235 attempts in nine seconds
		// went to relays that could not reach the upstream either.
		@Test
		void relayThatFailedComesLastForOtherRequestsToo() {
			RelayChoiceTests.this.router
				.updateInstances(List.of("gateway-1", "gateway-2", "gateway-3", "gateway-4", "gateway-5"));
			RelayChoiceTests.this.router.recordReachability(UpstreamPaths.HOME, true, 0);
			Dispatch dispatch = admit(UpstreamPaths.HOME, false, 0);
			String failedRelay = dispatch.relay();
			complete(dispatch, AttemptResult.UNREACHABLE, 0);
			String provenRelay = ((Dispatch) RelayChoiceTests.this.router.retry(dispatch.requestId(), 0).get(0))
				.relay();
			assertThat(provenRelay).isNotEqualTo(failedRelay);
			assertThat(admit(UpstreamPaths.HOME, false, NANOS_PER_SECOND / 10).relay()).isNotEqualTo(failedRelay);
		}

		@Test
		void relayThatReachedAnUpstreamIsUsedAgain() {
			RelayChoiceTests.this.router.updateInstances(List.of("gateway-1", "gateway-2", "gateway-3"));
			RelayChoiceTests.this.router.recordReachability(UpstreamPaths.HOME, true, 0);
			admit(UpstreamPaths.HOME, false, 0);
			Dispatch dispatch = admit(UpstreamPaths.HOME, false, 0);
			complete(dispatch, AttemptResult.SUCCESS, 0);
			for (int i = 0; i < 3; i++) {
				assertThat(admit(UpstreamPaths.HOME, false, NANOS_PER_SECOND / 10).relay()).isEqualTo(dispatch.relay());
			}
		}

		@Test
		void attemptsOfOtherGatewaysAreSentDirectly() {
			RelayChoiceTests.this.router.updateInstances(List.of("gateway-1", "gateway-2"));
			assertThat(admit(UpstreamPaths.HOME, false, 0).relay()).isNull();
		}

	}

}
