package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.PaceProbe;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.routing.RoutingEffect.ServiceEvacuated;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for services whose upstreams stand in evacuated availability zones.
 */
class EvacuationTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final String GATEWAY = "10.0.0.1:7620";

	private static final Upstream HERE = new Upstream("here", "127.0.0.1:1", "bastrop", 2, 1, true);

	private static final Upstream ELSEWHERE = new Upstream("elsewhere", "127.0.0.1:2", "elgin", 2, 1, true);

	@Nested
	class Router {

		private final ServiceRouter router = new ServiceRouter(
				new ServiceRule("rotaboard", 10, Duration.ofSeconds(1), 50, 0, 100, 3), "bastrop", 4, 0);

		private long lastRequestId;

		private long nowMillis;

		@BeforeEach
		void announceUpstreams() {
			this.router.updateUpstreams(List.of(HERE, ELSEWHERE), 0);
		}

		private long nowNanos() {
			return this.nowMillis * NANOS_PER_MILLI;
		}

		private List<RoutingEffect> admit() {
			return this.router.admit(
					new RoutingRequest(++this.lastRequestId, "caller-" + this.lastRequestId, true,
							(this.nowMillis + 10_000) * NANOS_PER_MILLI, "bastrop", Urgency.NORMAL, 3, GATEWAY),
					nowNanos());
		}

		private List<RoutingEffect> evacuate(String... zones) {
			return this.router.updateEvacuatedZones(Set.of(zones), nowNanos());
		}

		private void assertDispatchedElsewhere(List<RoutingEffect> effects) {
			assertThat(effects).isNotEmpty()
				.filteredOn(Dispatch.class::isInstance)
				.allSatisfy((effect) -> assertThat(((Dispatch) effect).upstream().name()).isEqualTo("elsewhere"));
		}

		@Test
		void newRequestsGoToOtherZones() {
			evacuate("bastrop");
			assertDispatchedElsewhere(admit());
		}

		@Test
		void queuedRequestsWaitForOtherZones() {
			for (int i = 0; i < 12; i++) {
				admit();
			}
			int queued = this.router.queuedRequests();
			evacuate("bastrop");
			this.router.completeAttempt(1, "here", AttemptResult.SUCCESS, nowNanos());
			assertThat(queued).isPositive();
			assertThat(this.router.queuedRequests()).isEqualTo(queued);
		}

		@Test
		void requestsInFlightEndThere() {
			admit();
			int inFlight = this.router.inFlight("here") + this.router.inFlight("elsewhere");
			evacuate("bastrop", "elgin");
			assertThat(inFlight).isEqualTo(1);
			assertThat(this.router.inFlight("here") + this.router.inFlight("elsewhere")).isEqualTo(1);
			String used = (this.router.inFlight("here") == 1) ? "here" : "elsewhere";
			this.router.completeAttempt(1, used, AttemptResult.SUCCESS, nowNanos());
			this.router.close(1);
			assertThat(this.router.openRequests()).isZero();
		}

		@Test
		void retriesAndHedgesGoToOtherZonesOnly() {
			evacuate("elgin");
			List<RoutingEffect> first = admit();
			assertThat(first).singleElement()
				.isInstanceOfSatisfying(Dispatch.class,
						(dispatch) -> assertThat(dispatch.upstream().name()).isEqualTo("here"));
			this.nowMillis = 5_000;
			assertThat(this.router.hedge(1, nowNanos())).noneMatch(Dispatch.class::isInstance);
			this.router.completeAttempt(1, "here", AttemptResult.FAILURE, nowNanos());
			assertThat(this.router.retry(1, nowNanos())).singleElement().isInstanceOf(Refusal.class);
		}

		@Test
		void restoredZoneIsUsedAgain() {
			evacuate("bastrop", "elgin");
			evacuate("elgin");
			assertThat(admit()).singleElement()
				.isInstanceOfSatisfying(Dispatch.class,
						(dispatch) -> assertThat(dispatch.upstream().name()).isEqualTo("here"));
		}

		@Test
		void upstreamThatJoinsAnEvacuatedZoneIsNotUsed() {
			evacuate("bastrop");
			this.router.updateUpstreams(
					List.of(HERE, ELSEWHERE, new Upstream("new", "127.0.0.1:3", "bastrop", 2, 1, true)), nowNanos());
			for (int i = 0; i < 4; i++) {
				assertDispatchedElsewhere(admit());
				this.router.completeAttempt(this.lastRequestId, "elsewhere", AttemptResult.SUCCESS, nowNanos());
				this.router.close(this.lastRequestId);
			}
		}

		@Test
		void probesDoNotLeadToItsUse() {
			evacuate("bastrop");
			List<RoutingEffect> effects = new ArrayList<>(admit());
			effects.addAll(this.router.recordConnectionProbe("here", true, nowNanos()));
			effects.addAll(this.router.tick(nowNanos()));
			assertThat(effects).noneMatch((effect) -> effect instanceof PaceProbe probe && probe.upstream() == HERE);
			assertDispatchedElsewhere(effects);
		}

		@Test
		void allEvacuatedRefusesAtOnceWithATimeToReturn() {
			assertThat(evacuate("bastrop", "elgin")).contains(new ServiceEvacuated(true));
			assertThat(admit()).singleElement().isInstanceOfSatisfying(Refusal.class, (refusal) -> {
				assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
				assertThat(refusal.retryAfterMillis()).isPositive();
			});
			assertThat(evacuate("bastrop")).contains(new ServiceEvacuated(false));
		}

		@Test
		void allEvacuatedRefusesQueuedRequestsAtOnce() {
			for (int i = 0; i < 12; i++) {
				admit();
			}
			int queued = this.router.queuedRequests();
			List<RoutingEffect> effects = evacuate("bastrop", "elgin");
			assertThat(queued).isPositive();
			assertThat(effects).filteredOn(Refusal.class::isInstance).hasSize(queued);
			assertThat(this.router.queuedRequests()).isZero();
		}

		@Test
		void noEvacuationHasNoEffect() {
			ServiceRouter other = new ServiceRouter(
					new ServiceRule("rotaboard", 10, Duration.ofSeconds(1), 50, 0, 100, 3), "bastrop", 4, 0);
			List<RoutingEffect> announced = other.updateUpstreams(List.of(HERE, ELSEWHERE), 0);
			assertThat(announced).isEmpty();
			assertThat(evacuate()).isEmpty();
			assertThat(admit()).isEqualTo(other.admit(new RoutingRequest(1, "caller-1", true, 10_000 * NANOS_PER_MILLI,
					"bastrop", Urgency.NORMAL, 3, GATEWAY), 0));
		}

	}

	@Nested
	class Gateway {

		private final UpstreamConstraints constraints = new UpstreamConstraints();

		@BeforeEach
		void announceUpstreams() {
			this.constraints.updateUpstreams(List.of(HERE, ELSEWHERE), 0);
		}

		// The home may not know of the evacuation yet.
		@Test
		void grantForAnEvacuatedZoneIsReturned() {
			this.constraints.updateEvacuatedZones(Set.of("bastrop"));
			assertThat(this.constraints.find("here", false, 0)).isNotNull()
				.satisfies((report) -> assertThat(report.refusedMillis()).isPositive());
			assertThat(this.constraints.find("elsewhere", false, 0)).isNull();
		}

		@Test
		void homeGrantsAReturnedRequestElsewhere() {
			ServiceRouter home = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);
			home.updateUpstreams(List.of(HERE, ELSEWHERE), 0);
			this.constraints.updateEvacuatedZones(Set.of("bastrop"));
			Dispatch first = (Dispatch) home
				.admit(new RoutingRequest(1, "caller", true, 10_000 * NANOS_PER_MILLI, "bastrop", Urgency.NORMAL, 3,
						GATEWAY), 0)
				.get(0);
			assertThat(first.upstream()).isEqualTo(HERE);
			home.completeAttempt(1, "here", AttemptResult.CANCELLED, this.constraints.find("here", false, 0), 0);
			assertThat(home.retry(1, 0)).singleElement()
				.isInstanceOfSatisfying(Dispatch.class,
						(dispatch) -> assertThat(dispatch.upstream()).isEqualTo(ELSEWHERE));
		}

		@Test
		void restoredZoneIsNotConstrained() {
			this.constraints.updateEvacuatedZones(Set.of("bastrop"));
			this.constraints.updateEvacuatedZones(Set.of());
			assertThat(this.constraints.find("here", false, 0)).isNull();
		}

		@Test
		void unknownUpstreamIsNotConstrained() {
			this.constraints.updateEvacuatedZones(Set.of("bastrop"));
			assertThat(this.constraints.find("unknown", false, 0)).isNull();
		}

	}

}
