package org.radishthread.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the use of the paces that upstreams report: in the choice of an upstream, and
 * to decide on a hedge. All upstreams are slow for a part of the time.
 */
class ReportedPaceTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long SERVICE_MILLIS = 400;

	private static final long OBJECTIVE_MILLIS = 850;

	private static final int SLOTS = 6;

	private static final int USUAL_PACE = 100;

	private static final int SLOW_PACE = 400;

	// The upstreams by name, and their zones.
	private static final Map<String, String> ZONES = new TreeMap<>(
			Map.of("near", "zone-0", "far", "zone-1", "farther", "zone-2"));

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("service"),
			new RouterSettings("zone-0", 1, RetryLimits.DEFAULTS, 500), 0);

	private long requestId;

	private long nowMillis;

	@BeforeEach
	void alternatePaces() {
		this.router.updateUpstreams(ZONES.entrySet()
			.stream()
			.map((zone) -> new Upstream(zone.getKey(), "127.0.0.1:1", zone.getValue(), SLOTS, 1, true))
			.toList(), 0);
		for (int i = 0; i < 200; i++) {
			advance(10);
			int pace = (i % 2 == 0) ? SLOW_PACE : USUAL_PACE;
			ZONES.keySet().forEach((upstream) -> report(upstream, pace));
		}
		for (int i = 0; i < 20; i++) {
			ZONES.keySet().forEach((upstream) -> report(upstream, USUAL_PACE));
			Dispatch dispatch = admit();
			advance(SERVICE_MILLIS);
			complete(dispatch);
		}
		advance(5_000);
	}

	private long nowNanos() {
		return this.nowMillis * NANOS_PER_MILLI;
	}

	private void advance(long millis) {
		this.nowMillis += millis;
	}

	private void report(String upstream, int pacePercent) {
		this.router.recordPaceProbe(upstream, new LoadReport(1, 0, SLOTS, pacePercent), nowNanos());
	}

	private Dispatch admit() {
		this.requestId++;
		RoutingRequest request = new RoutingRequest(this.requestId, "caller", true,
				nowNanos() + 6_000 * NANOS_PER_MILLI, "",
				new Urgency(1, nowNanos() + OBJECTIVE_MILLIS * NANOS_PER_MILLI), 2);
		return (Dispatch) this.router.admit(request, nowNanos()).get(0);
	}

	private List<RoutingEffect> hedge(Dispatch dispatch) {
		return this.router.hedge(dispatch.requestId(), nowNanos());
	}

	private void complete(Dispatch dispatch) {
		this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.SUCCESS,
				nowNanos());
		this.router.close(dispatch.requestId());
	}

	@Nested
	class Choices {

		// Guards against a request that is sent to an upstream of its zone whose pace was
		// reported so long ago that it may have changed.
		@Test
		void upstreamThatHasJustReportedItsUsualPaceIsPreferred() {
			report("near", USUAL_PACE);
			advance(100);
			report("far", USUAL_PACE);
			assertThat(admit().upstream().name()).isEqualTo("far");
		}

		@Test
		void upstreamOfTheZoneIsPreferredIfBothHaveJustReportedTheirUsualPace() {
			report("near", USUAL_PACE);
			advance(5);
			report("far", USUAL_PACE);
			report("farther", USUAL_PACE);
			assertThat(admit().upstream().name()).isEqualTo("near");
		}

	}

	@Nested
	class Hedges {

		private Dispatch dispatch;

		@BeforeEach
		void dispatchAtTheUsualPace() {
			report("near", SLOW_PACE);
			report("farther", SLOW_PACE);
			report("far", USUAL_PACE);
			this.dispatch = admit();
			assertThat(this.dispatch.upstream().name()).isEqualTo("far");
		}

		private List<RoutingEffect> hedgeWhenDue() {
			advance(this.dispatch.hedgeAfterNanos() / NANOS_PER_MILLI);
			report("near", USUAL_PACE);
			return hedge(this.dispatch);
		}

		// Guards against hedges that are sent when they can't be in time any more.
		@Test
		void attemptThatBeganSlowlyIsHedgedInTimeForTheObjective() {
			advance(50);
			report("far", SLOW_PACE);
			assertThat(hedgeWhenDue()).hasSize(1);
			assertThat(this.dispatch.hedgeAfterNanos() / NANOS_PER_MILLI).isLessThan(OBJECTIVE_MILLIS - SERVICE_MILLIS);
		}

		// Guards against hedges of attempts that are about to end, which use up the
		// budget.
		@Test
		void attemptThatBeganAtTheUsualPaceIsNotHedgedBeforeItTakesLongerThanUsual() {
			advance(50);
			report("far", USUAL_PACE);
			assertThat(hedgeWhenDue()).isEmpty();
			advance(SERVICE_MILLIS);
			report("near", USUAL_PACE);
			assertThat(hedge(this.dispatch)).hasSize(1);
		}

		// What an upstream reports before a request has reached it does not show the pace
		// at which the request begins.
		@Test
		void reportThatCrossesTheRequestDoesNotCount() {
			advance(5);
			report("far", USUAL_PACE);
			advance(45);
			report("far", SLOW_PACE);
			assertThat(hedgeWhenDue()).hasSize(1);
		}

	}

}
