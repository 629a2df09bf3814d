package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamDepartures} and for the returns of grants that follow from
 * them.
 */
class UpstreamDeparturesTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final String GATEWAY = "10.0.0.1:7620";

	private static Upstream upstream(String name, long incarnation, long sequence, boolean acceptsRequests) {
		return new Upstream(name, "127.0.0.1:1", "bastrop", 2, incarnation, acceptsRequests, sequence, 0);
	}

	@Nested
	class Grants {

		private final UpstreamDepartures departures = UpstreamDepartures
			.of(List.of(upstream("one", 3, 20, false), upstream("two", 1, 1, true)));

		// Guards against requests that reach an upstream after its departure was
		// acknowledged (DRAIN), because a home that did not know of it granted the slot.
		@Test
		void grantByAnOlderAnnouncementIsReturnedWithTheVersionOfTheDeparture() {
			assertThat(this.departures.find(upstream("one", 3, 19, true)))
				.isEqualTo(LoadReport.departedAs(new AnnouncementVersion(3, 20)));
			assertThat(this.departures.find(upstream("one", 2, 90, true))).isNotNull();
		}

		// Guards against requests to the former address of an upstream that was started
		// anew.
		@Test
		void grantOfAFormerIncarnationIsReturned() {
			UpstreamDepartures departures = UpstreamDepartures.of(List.of(upstream("one", 4, 7, true)));
			assertThat(departures.find(upstream("one", 3, 900, true)))
				.isEqualTo(LoadReport.departedAs(new AnnouncementVersion(4, 7)));
			assertThat(departures.find(upstream("one", 4, 6, true))).isNull();
			assertThat(departures.find(new Upstream("one", "127.0.0.1:1", "", 1, 0, true))).isNull();
		}

		@Test
		void grantByANewerAnnouncementIsUsed() {
			assertThat(this.departures.find(upstream("one", 3, 21, true))).isNull();
			assertThat(this.departures.find(upstream("one", 4, 1, true))).isNull();
		}

		// Guards against upstreams that are left out for all, because a lease expired at
		// one instance.
		@Test
		void equalVersionIsNoDeparture() {
			assertThat(this.departures.find(upstream("one", 3, 20, true))).isNull();
		}

		@Test
		void upstreamsThatAreAnnouncedOrUnknownAreUsed() {
			assertThat(this.departures.find(upstream("two", 1, 1, true))).isNull();
			assertThat(this.departures.find(upstream("three", 1, 1, true))).isNull();
			assertThat(UpstreamDepartures.NONE.find(upstream("one", 3, 19, true))).isNull();
		}

		@Test
		void grantOfAnEarlierVersionOfTheHomeIsOlderThanAnyDeparture() {
			assertThat(this.departures.find(new Upstream("one", "127.0.0.1:1", "", 1, 0, true))).isNotNull();
		}

	}

	@Nested
	class Home {

		private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);

		private long lastRequestId;

		Home() {
			this.router.updateUpstreams(List.of(upstream("one", 3, 19, true)), 0);
		}

		private List<RoutingEffect> admit(int maximumAttempts, long nowMillis) {
			return this.router.admit(new RoutingRequest(++this.lastRequestId, "caller", true,
					(nowMillis + 10_000) * NANOS_PER_MILLI, "", Urgency.NORMAL, maximumAttempts, GATEWAY),
					nowMillis * NANOS_PER_MILLI);
		}

		private void returnFirst(AnnouncementVersion departure) {
			assertThat(admit(3, 0)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
			this.router.completeAttempt(this.lastRequestId, "one", AttemptResult.RETURNED,
					LoadReport.departedAs(departure), 0);
			this.router.close(this.lastRequestId);
		}

		@Test
		void returnedUpstreamIsGrantedToNobody() {
			returnFirst(new AnnouncementVersion(3, 20));
			assertThat(admit(3, 100)).singleElement().isInstanceOf(RoutingEffect.Refusal.class);
		}

		@Test
		void upstreamThatIsAnnouncedAgainIsGrantedAtOnce() {
			returnFirst(new AnnouncementVersion(3, 20));
			this.router.updateUpstreams(List.of(upstream("one", 3, 21, true)), 100 * NANOS_PER_MILLI);
			assertThat(admit(3, 100)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
		}

		// Guards against a home that forgets the newest announcement because of the word
		// of a gateway that knows an older one.
		@Test
		void departureThatTheHomeKnowsToBeOverIsIgnored() {
			this.router.updateUpstreams(List.of(upstream("one", 3, 21, true)), 0);
			returnFirst(new AnnouncementVersion(3, 20));
			assertThat(admit(3, 100)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
		}

	}

}
