package org.radishthread.routing;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.UpstreamCold;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for upstreams that are cold and tolerate only some requests per second.
 */
class ColdUpstreamTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long COLD_MILLIS = 3_000;

	private static final long COLD_AT_MILLIS = 3_000;

	private static Upstream cold(long sequence, long coldMillis) {
		return new Upstream("one", "127.0.0.1:1", "bastrop", 3, 1, true, sequence, coldMillis);
	}

	@Nested
	class Periods {

		private final ColdPeriod period = new ColdPeriod();

		@Test
		void repeatedAnnouncementDoesNotExtendThePeriod() {
			this.period.recordAnnouncement(cold(1, 1_000), 0);
			this.period.recordAnnouncement(cold(1, 1_000), 900 * NANOS_PER_MILLI);
			assertThat(this.period.remainingMillis(900 * NANOS_PER_MILLI)).isEqualTo(100);
			assertThat(this.period.isCold(1_000 * NANOS_PER_MILLI)).isFalse();
		}

		@Test
		void laterAnnouncementEndsThePeriod() {
			this.period.recordAnnouncement(cold(1, 1_000), 0);
			this.period.recordAnnouncement(cold(2, 0), 100 * NANOS_PER_MILLI);
			assertThat(this.period.isCold(100 * NANOS_PER_MILLI)).isFalse();
		}

		// The announcement may have been sent before the upstream became cold again.
		@Test
		void announcementDoesNotEndWhatAResponseStated() {
			this.period.recordReport(LoadReport.coldFor(2_000), 0);
			this.period.recordAnnouncement(cold(2, 0), 100 * NANOS_PER_MILLI);
			assertThat(this.period.isCold(1_900 * NANOS_PER_MILLI)).isTrue();
		}

	}

	@Nested
	class Routing {

		private final ServiceRouter router = newRouter(2);

		private long lastRequestId;

		private static ServiceRouter newRouter(double rate) {
			return new ServiceRouter(new ServiceRule("rotaboard", 256, Duration.ofSeconds(1), 50, 0, 20, 3, null, rate),
					RouterSettings.defaults("bastrop", 4), 0);
		}

		private List<RoutingEffect> admit(boolean home, long nowMillis) {
			return this.router.admit(
					new RoutingRequest(++this.lastRequestId, "caller", true, (nowMillis + 900) * NANOS_PER_MILLI), home,
					nowMillis * NANOS_PER_MILLI);
		}

		@Test
		void routerThatHasJustStartedSendsNoBurstToAColdUpstream() {
			assertThat(this.router.updateUpstreams(List.of(cold(1, COLD_MILLIS)), 0))
				.containsExactly(new UpstreamCold("one", COLD_MILLIS, 2));
			assertThat(admit(true, 0)).isEmpty();
			assertThat(this.router.tick(499 * NANOS_PER_MILLI)).isEmpty();
			assertThat(this.router.tick(500 * NANOS_PER_MILLI)).singleElement()
				.isInstanceOfSatisfying(Dispatch.class, (dispatch) -> assertThat(dispatch.limitCounted()).isTrue());
		}

		@Test
		void requestWithoutHomeIsNotSentToAColdUpstream() {
			this.router.updateUpstreams(List.of(cold(1, COLD_MILLIS)), 0);
			assertThat(admit(false, 1_000)).singleElement().isInstanceOf(RoutingEffect.Refusal.class);
		}

		@Test
		void upstreamIsUsedInFullOnceItIsWarm() {
			this.router.updateUpstreams(List.of(cold(1, COLD_MILLIS)), 0);
			for (int i = 0; i < 3; i++) {
				assertThat(admit(true, COLD_MILLIS)).singleElement().isInstanceOf(Dispatch.class);
			}
		}

		@Test
		void coldnessThatAnInstanceReportsWithAReturnedGrantCounts() {
			this.router.updateUpstreams(List.of(cold(1, 0)), 0);
			assertThat(admit(true, 0)).singleElement().isInstanceOf(Dispatch.class);
			assertThat(this.router.completeAttempt(this.lastRequestId, "one", AttemptResult.CANCELLED,
					LoadReport.coldFor(1_000), 0))
				.contains(new UpstreamCold("one", 1_000, 2));
			assertThat(admit(true, 100)).isEmpty();
		}

		// Without that, the time until grants are returned would make the upstream look
		// fast, and it would get all requests.
		@Test
		void returnedGrantsDoNotMakeAnUpstreamLookFast() {
			this.router.updateUpstreams(List.of(cold(1, 0), new Upstream("two", "127.0.0.1:2", "bastrop", 3, 1, true)),
					0);
			for (int round = 0; round < 4; round++) {
				Dispatch first = (Dispatch) admit(true, 100 * round).get(0);
				Dispatch second = (Dispatch) admit(true, 100 * round).get(0);
				for (Dispatch attempt : List.of(first, second)) {
					boolean returned = attempt.upstream().name().equals("one");
					this.router.completeAttempt(attempt.requestId(), attempt.upstream().name(),
							returned ? AttemptResult.CANCELLED : AttemptResult.SUCCESS,
							returned ? LoadReport.coldFor(50) : null,
							(100 * round + (returned ? 1 : 40)) * NANOS_PER_MILLI);
					this.router.close(attempt.requestId());
				}
			}
			int requestsToOne = 0;
			for (int i = 0; i < 4; i++) {
				Dispatch attempt = (Dispatch) admit(true, 2_000).get(0);
				requestsToOne += attempt.upstream().name().equals("one") ? 1 : 0;
			}
			assertThat(requestsToOne).isEqualTo(2);
		}

		@Test
		void requestWhoseGrantIsReturnedNeedsNoRetryBudget() {
			ServiceRouter withoutBudget = new ServiceRouter(
					new ServiceRule("rotaboard", 256, Duration.ofSeconds(1), 50, 0, 0, 3, null, 2),
					new RouterSettings("bastrop", 4, new RetryLimits(0, 0, 10), 500), 0);
			withoutBudget
				.updateUpstreams(List.of(cold(1, 0), new Upstream("two", "127.0.0.1:2", "bastrop", 3, 1, true)), 0);
			Dispatch attempt = (Dispatch) withoutBudget
				.admit(new RoutingRequest(1, "caller", true, 900 * NANOS_PER_MILLI), 0)
				.get(0);
			withoutBudget.completeAttempt(1, attempt.upstream().name(), AttemptResult.CANCELLED,
					LoadReport.coldFor(1_000), NANOS_PER_MILLI);
			assertThat(withoutBudget.retry(1, NANOS_PER_MILLI)).singleElement().isInstanceOf(Dispatch.class);
		}

		@Test
		void hedgesAvoidColdUpstreams() {
			this.router.updateUpstreams(
					List.of(cold(1, COLD_MILLIS), new Upstream("two", "127.0.0.1:2", "bastrop", 3, 1, true)), 0);
			assertThat(admit(true, 1_000)).singleElement()
				.isInstanceOfSatisfying(Dispatch.class,
						(dispatch) -> assertThat(dispatch.upstream().name()).isEqualTo("two"));
			assertThat(this.router.hedge(this.lastRequestId, 1_600 * NANOS_PER_MILLI)).isEmpty();
		}

	}

	@Nested
	class Loads {

		// A third of the upstreams come back cold at once under full load.
		@Test
		void coldZoneReturns() {
			ColdStartSimulation simulation = new ColdStartSimulation(4, 12, ColdStartSimulation.RATE, 1);
			simulation.sendEvenly(0, 8_000, 110);
			simulation.at(COLD_AT_MILLIS, () -> {
				for (int i = 0; i < 4; i++) {
					simulation.makeCold(i, COLD_MILLIS, true);
				}
			});
			simulation.runUntil(9_000);
			assertThat(simulation.maximumColdRequestsInASecond())
				.isLessThanOrEqualTo((int) Math.ceil(ColdStartSimulation.RATE));
			assertThat(simulation.servedInTimeCount).isGreaterThan((int) (0.97 * 8 * 110));
			assertThat((double) simulation.coldRequests())
				.isGreaterThan(0.7 * 4 * ColdStartSimulation.RATE * COLD_MILLIS / 1_000);
			assertThat(simulation.refused).allSatisfy((refusal) -> {
				assertThat(refusal.waitedMillis()).isZero();
				assertThat(refusal.retryAfterMillis()).isPositive();
			});
		}

		@Test
		void serviceWhoseUpstreamsAreAllColdServesWhatTheyTolerate() {
			ColdStartSimulation simulation = new ColdStartSimulation(4, 12, ColdStartSimulation.RATE, 2);
			simulation.sendEvenly(0, COLD_AT_MILLIS + COLD_MILLIS, 60);
			simulation.at(COLD_AT_MILLIS, () -> {
				for (int i = 0; i < 12; i++) {
					simulation.makeCold(i, COLD_MILLIS, true);
				}
			});
			simulation.runUntil(COLD_AT_MILLIS + COLD_MILLIS);
			assertThat(simulation.maximumColdRequestsInASecond())
				.isLessThanOrEqualTo((int) Math.ceil(ColdStartSimulation.RATE));
			assertThat((double) simulation.coldRequests())
				.isGreaterThan(0.8 * 12 * ColdStartSimulation.RATE * COLD_MILLIS / 1_000);
			assertThat(simulation.refused).isNotEmpty()
				.allSatisfy((refusal) -> assertThat(refusal.retryAfterMillis()).isPositive());
			assertThat(simulation.refused.stream().filter((refusal) -> refusal.waitedMillis() == 0).count())
				.isGreaterThan((long) (0.9 * simulation.refused.size()));
		}

		@Test
		void announcedColdnessChangesNothingForAServiceWithoutARate() {
			ColdStartSimulation warm = new ColdStartSimulation(4, 12, 0, 3);
			ColdStartSimulation cold = new ColdStartSimulation(4, 12, 0, 3);
			for (ColdStartSimulation simulation : List.of(warm, cold)) {
				simulation.sendEvenly(0, 8_000, 150);
				simulation.at(COLD_AT_MILLIS, () -> {
					for (int i = 0; i < 4; i++) {
						simulation.makeCold(i, (simulation == cold) ? COLD_MILLIS : 0, true);
					}
				});
				simulation.ignoresColdness = true;
				simulation.runUntil(9_000);
			}
			assertThat(cold.sent).isEqualTo(warm.sent);
		}

	}

}
