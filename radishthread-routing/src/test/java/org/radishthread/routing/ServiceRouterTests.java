package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceRouter} and {@link HomeAssignment}.
 */
class ServiceRouterTests {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final int RETRY_PERCENT = 10;

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("service", 10, Duration.ofSeconds(1), 50, 0, RETRY_PERCENT, 3), "zone-0", 1, 0);

	private long nowNanos;

	private long lastRequestId;

	private static Upstream upstream(int number, boolean acceptsRequests) {
		return new Upstream("upstream-" + number, "127.0.0.1:1", "zone-" + number % 2, 2, 1, acceptsRequests);
	}

	private void announce(int count) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			upstreams.add(upstream(i, true));
		}
		this.router.updateUpstreams(upstreams, this.nowNanos);
	}

	private List<RoutingEffect> admit(String caller) {
		return this.router.admit(
				new RoutingRequest(++this.lastRequestId, caller, true, this.nowNanos + 5 * NANOS_PER_SECOND),
				this.nowNanos);
	}

	@Nested
	class CallerShares {

		@Test
		void callerIsLimitedToItsShare() {
			announce(1);
			admit("other-caller");
			int refusals = 0;
			for (int i = 0; i < 50; i++) {
				refusals += (admit("busy-caller").stream().anyMatch(Refusal.class::isInstance)) ? 1 : 0;
			}
			assertThat(refusals).isGreaterThan(40);
			List<RoutingEffect> effects = admit("other-caller");
			assertThat(effects).noneMatch(Refusal.class::isInstance);
		}

		@Test
		void queuedCallersAreServedInTurn() {
			announce(1);
			for (int i = 0; i < 8; i++) {
				admit("busy-caller");
			}
			admit("other-caller");
			long otherCallerRequestId = ServiceRouterTests.this.lastRequestId;
			List<Long> dispatchOrder = new ArrayList<>();
			for (long requestId = 1; requestId <= 3; requestId++) {
				ServiceRouterTests.this.router
					.completeAttempt(requestId, "upstream-0", AttemptResult.SUCCESS, ServiceRouterTests.this.nowNanos)
					.forEach((effect) -> dispatchOrder.add(((Dispatch) effect).requestId()));
				ServiceRouterTests.this.router.close(requestId);
			}
			assertThat(dispatchOrder).contains(otherCallerRequestId);
		}

		@Test
		void requestIsRefusedAtOnceWithoutUpstreams() {
			assertThat(admit("caller")).singleElement()
				.isInstanceOfSatisfying(Refusal.class,
						(refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_UPSTREAM));
		}

	}

	@Nested
	class Failures {

		@Test
		void retriesAreBoundedWhenEveryAttemptFails() {
			announce(6);
			int attempts = 0;
			int requests = 1_000;
			for (int i = 0; i < requests; i++) {
				List<RoutingEffect> effects = admit("caller");
				while (!effects.isEmpty() && effects.get(0) instanceof Dispatch dispatch) {
					attempts++;
					ServiceRouterTests.this.nowNanos += NANOS_PER_SECOND / 1_000;
					ServiceRouterTests.this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(),
							AttemptResult.FAILURE, ServiceRouterTests.this.nowNanos);
					effects = ServiceRouterTests.this.router.retry(dispatch.requestId(),
							ServiceRouterTests.this.nowNanos);
				}
				ServiceRouterTests.this.router.close(ServiceRouterTests.this.lastRequestId);
			}
			int allowedRetries = requests * RETRY_PERCENT / 100;
			assertThat(attempts).isLessThanOrEqualTo(requests + allowedRetries + 20);
		}

		@Test
		void ejectedUpstreamIsTriedWithOneRequest() {
			announce(1);
			for (int i = 0; i < 3; i++) {
				Dispatch dispatch = (Dispatch) admit("caller").get(0);
				ServiceRouterTests.this.router.completeAttempt(dispatch.requestId(), "upstream-0",
						AttemptResult.FAILURE, ServiceRouterTests.this.nowNanos);
				ServiceRouterTests.this.router.close(dispatch.requestId());
			}
			assertThat(admit("caller").get(0)).isInstanceOf(Refusal.class);
			ServiceRouterTests.this.nowNanos += 2 * NANOS_PER_SECOND;
			assertThat(admit("caller").get(0)).isInstanceOf(Dispatch.class);
			assertThat(admit("caller")).as("second request before the first one completed").isEmpty();
		}

	}

	@Nested
	class Probes {

		private final ServiceRouter probingRouter = new ServiceRouter(
				new ServiceRule("service", 10, Duration.ofSeconds(1), 50, 2, RETRY_PERCENT, 1), "zone-0", 1, 0);

		private long countProbes(long seconds, boolean reachable) {
			long probes = 0;
			for (long elapsedMillis = 0; elapsedMillis < seconds * 1_000; elapsedMillis += 5) {
				ServiceRouterTests.this.nowNanos += NANOS_PER_SECOND / 200;
				for (RoutingEffect effect : this.probingRouter.tick(ServiceRouterTests.this.nowNanos)) {
					probes++;
					this.probingRouter.recordConnectionProbe(((RoutingEffect.ConnectionProbe) effect).upstream().name(),
							reachable, ServiceRouterTests.this.nowNanos);
				}
			}
			return probes;
		}

		private void ejectBothUpstreams() {
			this.probingRouter.updateUpstreams(List.of(upstream(0, true), upstream(1, true)),
					ServiceRouterTests.this.nowNanos);
			for (long requestId = 1; requestId <= 2; requestId++) {
				Dispatch dispatch = (Dispatch) this.probingRouter
					.admit(new RoutingRequest(requestId, "caller", false, 5 * NANOS_PER_SECOND),
							ServiceRouterTests.this.nowNanos)
					.get(0);
				this.probingRouter.completeAttempt(requestId, dispatch.upstream().name(), AttemptResult.UNREACHABLE,
						ServiceRouterTests.this.nowNanos);
				this.probingRouter.close(requestId);
			}
		}

		@Test
		void ejectedUpstreamIsUsedAgainAfterASuccessfulProbe() {
			ejectBothUpstreams();
			assertThat(countProbes(3, true)).isEqualTo(2);
			assertThat(this.probingRouter.admit(new RoutingRequest(9, "caller", false, 60 * NANOS_PER_SECOND),
					ServiceRouterTests.this.nowNanos))
				.singleElement()
				.isInstanceOf(Dispatch.class);
		}

		@Test
		void connectionProbeIsNotRepeatedWhileItsResultIsPending() {
			ejectBothUpstreams();
			List<String> probedUpstreams = new ArrayList<>();
			for (long elapsedMillis = 0; elapsedMillis < 1_900; elapsedMillis += 5) {
				ServiceRouterTests.this.nowNanos += NANOS_PER_SECOND / 200;
				for (RoutingEffect effect : this.probingRouter.tick(ServiceRouterTests.this.nowNanos)) {
					probedUpstreams.add(((RoutingEffect.ConnectionProbe) effect).upstream().name());
				}
			}
			assertThat(probedUpstreams).containsExactlyInAnyOrder("upstream-0", "upstream-1");
		}

		@Test
		void connectionProbesStayWithinTheBudget() {
			ejectBothUpstreams();
			assertThat(countProbes(60, false)).isBetween(2L, 120L);
			assertThat(this.probingRouter.admit(new RoutingRequest(9, "caller", false, 120 * NANOS_PER_SECOND),
					ServiceRouterTests.this.nowNanos))
				.singleElement()
				.isInstanceOf(Refusal.class);
		}

	}

	@Nested
	class UpstreamChanges {

		@Test
		void drainingUpstreamGetsNoRequests() {
			announce(2);
			ServiceRouterTests.this.router.updateUpstreams(List.of(upstream(0, false), upstream(1, true)),
					ServiceRouterTests.this.nowNanos);
			for (int i = 0; i < 4; i++) {
				admit("caller").stream()
					.filter(Dispatch.class::isInstance)
					.forEach((effect) -> assertThat(((Dispatch) effect).upstream().name()).isEqualTo("upstream-1"));
			}
		}

		@Test
		void newUpstreamStartsWithOneSlot() {
			announce(1);
			ServiceRouterTests.this.nowNanos += 10 * NANOS_PER_SECOND;
			announce(2);
			int dispatchedToNewUpstream = 0;
			for (int i = 0; i < 4; i++) {
				for (RoutingEffect effect : admit("caller")) {
					dispatchedToNewUpstream += ((Dispatch) effect).upstream().name().equals("upstream-1") ? 1 : 0;
				}
			}
			assertThat(dispatchedToNewUpstream).isEqualTo(1);
		}

	}

	@Nested
	class HomeAssignments {

		@Test
		void onlyServicesOfARemovedInstanceMove() {
			List<String> allInstances = List.of("a", "b", "c", "d", "e");
			List<String> remaining = List.of("a", "b", "d", "e");
			for (int i = 0; i < 200; i++) {
				String service = "service-" + i;
				String before = HomeAssignment.rankInstances(service, allInstances).get(0);
				String after = HomeAssignment.rankInstances(service, remaining).get(0);
				assertThat(after).isEqualTo(
						before.equals("c") ? HomeAssignment.rankInstances(service, allInstances).get(1) : before);
			}
		}

		@Test
		void servicesAreSpreadEvenlyOverInstances() {
			long assignedToFirst = java.util.stream.IntStream.range(0, 1_000)
				.filter((i) -> HomeAssignment.rankInstances("service-" + i, List.of("a", "b", "c", "d"))
					.get(0)
					.equals("a"))
				.count();
			assertThat(assignedToFirst).isBetween(180L, 320L);
		}

	}

}
