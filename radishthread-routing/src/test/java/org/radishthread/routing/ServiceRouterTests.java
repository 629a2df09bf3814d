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
 * Tests for {@link ServiceRouter}.
 */
class ServiceRouterTests {

	private static final long SECOND = 1_000_000_000L;

	private static final int RETRY_PERCENT = 10;

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("service", 10, Duration.ofSeconds(1), 50, 0, RETRY_PERCENT, 3), "zone-0", 1, 0);

	private long now;

	private long lastTicket;

	private static Upstream upstream(int number, boolean accepts) {
		return new Upstream("upstream-" + number, "127.0.0.1:1", "zone-" + number % 2, 2, 1, accepts);
	}

	private void announce(int count) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			upstreams.add(upstream(i, true));
		}
		this.router.updateUpstreams(upstreams, this.now);
	}

	private List<RoutingEffect> admit(String caller) {
		return this.router.admit(new RoutingRequest(++this.lastTicket, caller, true, this.now + 5 * SECOND), this.now);
	}

	@Nested
	class Limits {

		@Test
		void noisyCallerSpendsOnlyItsShare() {
			announce(1);
			admit("quiet");
			int refused = 0;
			for (int i = 0; i < 50; i++) {
				refused += (admit("noisy").stream().anyMatch(Refusal.class::isInstance)) ? 1 : 0;
			}
			assertThat(refused).isGreaterThan(40);
			List<RoutingEffect> quiet = admit("quiet");
			assertThat(quiet).noneMatch(Refusal.class::isInstance);
		}

		@Test
		void callersThatWaitAreServedInTurn() {
			announce(1);
			for (int i = 0; i < 8; i++) {
				admit("noisy");
			}
			admit("quiet");
			long quiet = ServiceRouterTests.this.lastTicket;
			List<Long> order = new ArrayList<>();
			for (long ticket = 1; ticket <= 3; ticket++) {
				ServiceRouterTests.this.router
					.completeAttempt(ticket, "upstream-0", AttemptResult.SUCCESS, ServiceRouterTests.this.now)
					.forEach((effect) -> order.add(((Dispatch) effect).requestId()));
				ServiceRouterTests.this.router.close(ticket);
			}
			assertThat(order).contains(quiet);
		}

		@Test
		void withoutUpstreamTheRefusalIsImmediate() {
			assertThat(admit("caller")).singleElement()
				.isInstanceOfSatisfying(Refusal.class,
						(refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_UPSTREAM));
		}

	}

	@Nested
	class Failures {

		@Test
		void retryStormIsBounded() {
			announce(6);
			int attempts = 0;
			int requests = 1_000;
			for (int i = 0; i < requests; i++) {
				List<RoutingEffect> effects = admit("caller");
				while (!effects.isEmpty() && effects.get(0) instanceof Dispatch dispatch) {
					attempts++;
					ServiceRouterTests.this.now += SECOND / 1_000;
					ServiceRouterTests.this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(),
							AttemptResult.FAILURE, ServiceRouterTests.this.now);
					effects = ServiceRouterTests.this.router.retry(dispatch.requestId(), ServiceRouterTests.this.now);
				}
				ServiceRouterTests.this.router.close(ServiceRouterTests.this.lastTicket);
			}
			int allowed = requests * RETRY_PERCENT / 100;
			assertThat(attempts).isLessThanOrEqualTo(requests + allowed + 20);
		}

		@Test
		void failingUpstreamIsEjectedAndComesBackByOneTrial() {
			announce(1);
			for (int i = 0; i < 3; i++) {
				Dispatch dispatch = (Dispatch) admit("caller").get(0);
				ServiceRouterTests.this.router.completeAttempt(dispatch.requestId(), "upstream-0",
						AttemptResult.FAILURE, ServiceRouterTests.this.now);
				ServiceRouterTests.this.router.close(dispatch.requestId());
			}
			assertThat(admit("caller").get(0)).isInstanceOf(Refusal.class);
			ServiceRouterTests.this.now += 2 * SECOND;
			assertThat(admit("caller").get(0)).isInstanceOf(Dispatch.class);
			assertThat(admit("caller")).as("a second request during the trial").isEmpty();
		}

	}

	@Nested
	class Probes {

		private final ServiceRouter probing = new ServiceRouter(
				new ServiceRule("service", 10, Duration.ofSeconds(1), 50, 2, RETRY_PERCENT, 1), "zone-0", 1, 0);

		private long probesWithin(long seconds, boolean reachable) {
			long probes = 0;
			for (long at = 0; at < seconds * 1_000; at += 5) {
				ServiceRouterTests.this.now += SECOND / 200;
				for (RoutingEffect effect : this.probing.tick(ServiceRouterTests.this.now)) {
					probes++;
					this.probing.recordConnectionProbe(((RoutingEffect.ConnectionProbe) effect).upstream().name(),
							reachable, ServiceRouterTests.this.now);
				}
			}
			return probes;
		}

		private void ejectBoth() {
			this.probing.updateUpstreams(List.of(upstream(0, true), upstream(1, true)), ServiceRouterTests.this.now);
			for (long ticket = 1; ticket <= 2; ticket++) {
				Dispatch dispatch = (Dispatch) this.probing
					.admit(new RoutingRequest(ticket, "caller", false, 5 * SECOND), ServiceRouterTests.this.now)
					.get(0);
				this.probing.completeAttempt(ticket, dispatch.upstream().name(), AttemptResult.UNREACHABLE,
						ServiceRouterTests.this.now);
				this.probing.close(ticket);
			}
		}

		@Test
		void ejectedUpstreamComesBackOnlyAfterAProbe() {
			ejectBoth();
			assertThat(probesWithin(3, true)).isEqualTo(2);
			assertThat(this.probing.admit(new RoutingRequest(9, "caller", false, 60 * SECOND),
					ServiceRouterTests.this.now))
				.singleElement()
				.isInstanceOf(Dispatch.class);
		}

		@Test
		void probesStayWithinTheBudget() {
			ejectBoth();
			assertThat(probesWithin(60, false)).isBetween(2L, 120L);
			assertThat(this.probing.admit(new RoutingRequest(9, "caller", false, 120 * SECOND),
					ServiceRouterTests.this.now))
				.singleElement()
				.isInstanceOf(Refusal.class);
		}

	}

	@Nested
	class Leaving {

		@Test
		void drainingUpstreamGetsNoNewWork() {
			announce(2);
			ServiceRouterTests.this.router.updateUpstreams(List.of(upstream(0, false), upstream(1, true)),
					ServiceRouterTests.this.now);
			for (int i = 0; i < 4; i++) {
				admit("caller").stream()
					.filter(Dispatch.class::isInstance)
					.forEach((effect) -> assertThat(((Dispatch) effect).upstream().name()).isEqualTo("upstream-1"));
			}
		}

		@Test
		void newUpstreamIsEasedIn() {
			announce(1);
			ServiceRouterTests.this.now += 10 * SECOND;
			announce(2);
			int first = 0;
			for (int i = 0; i < 4; i++) {
				for (RoutingEffect effect : admit("caller")) {
					first += ((Dispatch) effect).upstream().name().equals("upstream-1") ? 1 : 0;
				}
			}
			assertThat(first).isEqualTo(1);
		}

	}

	@Nested
	class Homes {

		@Test
		void onlyServicesOfALostInstanceMove() {
			List<String> all = List.of("a", "b", "c", "d", "e");
			List<String> left = List.of("a", "b", "d", "e");
			for (int i = 0; i < 200; i++) {
				String service = "service-" + i;
				String before = HomeAssignment.rankInstances(service, all).get(0);
				String after = HomeAssignment.rankInstances(service, left).get(0);
				assertThat(after)
					.isEqualTo(before.equals("c") ? HomeAssignment.rankInstances(service, all).get(1) : before);
			}
		}

		@Test
		void servicesSpreadOverInstances() {
			long onFirst = java.util.stream.IntStream.range(0, 1_000)
				.filter((i) -> HomeAssignment.rankInstances("service-" + i, List.of("a", "b", "c", "d"))
					.get(0)
					.equals("a"))
				.count();
			assertThat(onFirst).isBetween(180L, 320L);
		}

	}

}
