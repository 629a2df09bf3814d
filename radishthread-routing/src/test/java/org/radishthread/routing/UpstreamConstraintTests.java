package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for upstreams that announce that they leave, or that refuse requests of an
 * instance for some time.
 */
class UpstreamConstraintTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final String GATEWAY = "10.0.0.1:7620";

	private static final String OTHER_GATEWAY = "10.0.0.2:7620";

	private static Upstream upstream(String name, long incarnation) {
		return new Upstream(name, "127.0.0.1:1", "bastrop", 2, incarnation, true);
	}

	@Nested
	class Router {

		private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);

		private long lastRequestId;

		Router() {
			this.router.updateUpstreams(List.of(upstream("one", 1)), 0);
		}

		private List<RoutingEffect> admit(String origin, long nowMillis) {
			return this.router.admit(new RoutingRequest(++this.lastRequestId, "caller", true,
					(nowMillis + 10_000) * NANOS_PER_MILLI, "", Urgency.NORMAL, 3, origin),
					nowMillis * NANOS_PER_MILLI);
		}

		private void completeFirst(String origin, LoadReport report) {
			assertThat(admit(origin, 0)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
			this.router.completeAttempt(this.lastRequestId, "one", AttemptResult.SHED, report, 0);
			this.router.close(this.lastRequestId);
		}

		@Test
		void refusedInstanceGetsNoSlotUntilTheTimeIsOver() {
			completeFirst(GATEWAY, LoadReport.refusedFor(2_000));
			for (long millis = 0; millis < 2_000; millis += 100) {
				assertThat(admit(GATEWAY, millis)).singleElement().isInstanceOf(RoutingEffect.Refusal.class);
			}
			assertThat(admit(GATEWAY, 2_000)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
		}

		@Test
		void otherInstancesStillGetSlots() {
			completeFirst(GATEWAY, LoadReport.refusedFor(2_000));
			assertThat(admit(OTHER_GATEWAY, 100)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
		}

		@Test
		void refusedInstanceUsesOtherUpstreams() {
			completeFirst(GATEWAY, LoadReport.refusedFor(2_000));
			this.router.updateUpstreams(List.of(upstream("one", 1), upstream("two", 1)), 0);
			assertThat(admit(GATEWAY, 1_900)).singleElement()
				.isInstanceOfSatisfying(RoutingEffect.Dispatch.class,
						(dispatch) -> assertThat(dispatch.upstream().name()).isEqualTo("two"));
		}

		@Test
		void leavingUpstreamGetsNoRequestOfAnyInstance() {
			completeFirst(GATEWAY, LoadReport.LEAVING);
			assertThat(admit(GATEWAY, 100)).singleElement().isInstanceOf(RoutingEffect.Refusal.class);
			assertThat(admit(OTHER_GATEWAY, 100)).singleElement().isInstanceOf(RoutingEffect.Refusal.class);
		}

		@Test
		void limitEndsWithAResponseThatNamesNone() {
			completeFirst(GATEWAY, LoadReport.limitedTo(0.2));
			assertThat(admit(GATEWAY, 5_000)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
			long requestId = this.lastRequestId;
			assertThat(admit(GATEWAY, 5_000)).isEmpty();
			assertThat(
					this.router.completeAttempt(requestId, "one", AttemptResult.SUCCESS, null, 5_000 * NANOS_PER_MILLI))
				.singleElement()
				.isInstanceOf(RoutingEffect.Dispatch.class);
		}

		@Test
		void requestWithoutHomeIsNotSentToLimitedUpstream() {
			completeFirst(GATEWAY, LoadReport.limitedTo(100));
			RoutingRequest request = new RoutingRequest(++this.lastRequestId, "caller", true, 10_000 * NANOS_PER_MILLI);
			assertThat(this.router.admit(request, false, 1_000 * NANOS_PER_MILLI)).singleElement()
				.isInstanceOf(RoutingEffect.Refusal.class);
		}

		@Test
		void requestThatNoLimitAllowsInTimeIsRefusedAtOnce() {
			completeFirst(GATEWAY, LoadReport.limitedTo(0.1));
			RoutingRequest request = new RoutingRequest(++this.lastRequestId, "caller", true, 900 * NANOS_PER_MILLI);
			assertThat(this.router.admit(request, 100 * NANOS_PER_MILLI)).singleElement()
				.isInstanceOf(RoutingEffect.Refusal.class);
		}

		@Test
		void newIncarnationOfLeavingUpstreamIsUsed() {
			completeFirst(GATEWAY, LoadReport.LEAVING);
			this.router.updateUpstreams(List.of(upstream("one", 2)), 0);
			assertThat(admit(GATEWAY, 100)).singleElement().isInstanceOf(RoutingEffect.Dispatch.class);
		}

	}

	@Nested
	class Instance {

		private final UpstreamConstraints constraints = new UpstreamConstraints();

		Instance() {
			this.constraints.updateUpstreams(List.of(upstream("one", 1)), 0);
		}

		@Test
		void leavingUpstreamIsAvoidedUntilANewIncarnationIsAnnounced() {
			this.constraints.record("one", LoadReport.LEAVING, 0);
			assertThat(this.constraints.find("one", false, 3_600_000 * NANOS_PER_MILLI)).isEqualTo(LoadReport.LEAVING);
			this.constraints.updateUpstreams(List.of(upstream("one", 1)), 0);
			assertThat(this.constraints.find("one", false, 0)).isEqualTo(LoadReport.LEAVING);
			this.constraints.updateUpstreams(List.of(upstream("one", 2)), 0);
			assertThat(this.constraints.find("one", false, 0)).isNull();
		}

		// Guards against an upstream that is taken away from all, because one instance
		// has not heard of its next start.
		@Test
		void laterIncarnationThatTheHomeKnowsIsNotBound() {
			this.constraints.record("one", LoadReport.LEAVING, 0);
			assertThat(this.constraints.find(upstream("one", 2), false, 0)).isNull();
		}

		@Test
		void homeIsToldWhichIncarnationLeaves() {
			this.constraints.record("one", LoadReport.LEAVING, 0);
			assertThat(this.constraints.find(upstream("one", 1), false, 0))
				.isEqualTo(LoadReport.departedAs(AnnouncementVersion.lastOf(1)));
		}

		@Test
		void leavingUpstreamIsAvoidedWhileItIsNotAnnounced() {
			this.constraints.record("one", LoadReport.LEAVING, 0);
			this.constraints.updateUpstreams(List.of(), 0);
			this.constraints.updateUpstreams(List.of(upstream("one", 1)), 0);
			assertThat(this.constraints.find("one", false, 0)).isEqualTo(LoadReport.LEAVING);
		}

		@Test
		void refusalEndsAfterItsTime() {
			this.constraints.record("one", LoadReport.refusedFor(500), 0);
			assertThat(this.constraints.find("one", false, 100 * NANOS_PER_MILLI))
				.isEqualTo(LoadReport.refusedFor(400));
			assertThat(this.constraints.find("one", false, 500 * NANOS_PER_MILLI)).isNull();
		}

		@Test
		void grantThatTheHomeDidNotCountIsReturnedWithTheLimit() {
			this.constraints.recordLimit("one", LoadReport.limitedTo(2.3), AttemptResult.SUCCESS);
			assertThat(this.constraints.find("one", true, 0)).isNull();
			assertThat(this.constraints.find("one", false, 0)).isEqualTo(LoadReport.limitedTo(2.3));
			assertThat(this.constraints.find("one", false, 500 * NANOS_PER_MILLI)).isNull();
			assertThat(this.constraints.find("one", false, 1_000 * NANOS_PER_MILLI)).isNotNull();
		}

		@Test
		void limitEndsWithAResponseThatNamesNoneOrWithoutAny() {
			this.constraints.recordLimit("one", LoadReport.limitedTo(2.3), AttemptResult.SUCCESS);
			this.constraints.recordLimit("one", null, AttemptResult.CANCELLED);
			assertThat(this.constraints.find("one", false, 60_000 * NANOS_PER_MILLI)).isNotNull();
			this.constraints.recordLimit("one", null, AttemptResult.SUCCESS);
			assertThat(this.constraints.find("one", false, 120_000 * NANOS_PER_MILLI)).isNull();
		}

		@Test
		void laterAnswerDoesNotShortenARefusal() {
			this.constraints.record("one", LoadReport.refusedFor(500), 0);
			this.constraints.record("one", LoadReport.refusedFor(100), 0);
			assertThat(this.constraints.find("one", false, 400 * NANOS_PER_MILLI)).isNotNull();
		}

	}

}
