package org.radishthread.routing;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.SlotEnd;
import org.radishthread.protocol.SlotGrant;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotQueued;
import org.radishthread.protocol.SlotRefusal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotRequester}.
 */
class SlotRequesterTests {

	private static final String HOME = "10.0.0.1:7000";

	private static final long RUN_ID = 42;

	private static final long RESPONSE_TIMEOUT_NANOS = SlotRequester.MINIMUM_RESPONSE_TIMEOUT.toNanos();

	private final SlotRequester requester = new SlotRequester(RUN_ID, "zone-0", SlotRequester.MINIMUM_RESPONSE_TIMEOUT);

	private final RoutingRequest request = new RoutingRequest(7, "caller", true, 1_000_000_000);

	private List<SlotEffect> requestSlot() {
		return this.requester.requestSlot(this.request, "service", HOME, 0);
	}

	private static SlotMessage.Builder message() {
		return SlotMessage.newBuilder().setRun(RUN_ID).setTicket(7).setService("service");
	}

	private static SlotMessage grant(String upstream) {
		return message()
			.setGrant(SlotGrant.newBuilder().setUpstream(upstream).setAddress("10.0.0.9:1").setKind("first"))
			.build();
	}

	private List<SlotEffect> receive(SlotMessage message) {
		return this.requester.receive(HOME, message, 1_000_000);
	}

	private static List<SlotMessage.BodyCase> sentMessages(List<SlotEffect> effects) {
		return effects.stream()
			.filter(SlotEffect.Send.class::isInstance)
			.map((effect) -> ((SlotEffect.Send) effect).message().getBodyCase())
			.toList();
	}

	@Nested
	class Grants {

		@Test
		void repeatedGrantIsDispatchedOnce() {
			assertThat(sentMessages(requestSlot())).containsExactly(SlotMessage.BodyCase.REQUEST);
			assertThat(receive(grant("upstream-1"))).singleElement()
				.isInstanceOfSatisfying(SlotEffect.Decision.class,
						(decision) -> assertThat(decision.routingEffect()).isInstanceOf(RoutingEffect.Dispatch.class));
			assertThat(receive(grant("upstream-1"))).isEmpty();
		}

		@Test
		void grantForAClosedRequestIsReturned() {
			requestSlot();
			SlotRequesterTests.this.requester.close(7);
			assertThat(sentMessages(receive(grant("upstream-1")))).containsExactly(SlotMessage.BodyCase.END,
					SlotMessage.BodyCase.CLOSE);
		}

		@Test
		void grantForAnotherRunIsIgnored() {
			requestSlot();
			assertThat(receive(grant("upstream-1").toBuilder().setRun(RUN_ID + 1).build())).isEmpty();
		}

	}

	@Nested
	class UnavailableHomes {

		@Test
		void homeWithoutAnyResponseIsAbandoned() {
			requestSlot();
			assertThat(SlotRequesterTests.this.requester.tick(RESPONSE_TIMEOUT_NANOS)).isEmpty();
			assertThat(SlotRequesterTests.this.requester.tick(RESPONSE_TIMEOUT_NANOS + 1))
				.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
			assertThat(SlotRequesterTests.this.requester.hasOpenRequest(7)).isFalse();
		}

		@Test
		void queuedRequestIsRepeatedWhileTheHomeResponds() {
			requestSlot();
			long nowNanos = 1_000_000;
			for (int i = 0; i < 5; i++) {
				receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
				nowNanos += SlotRequester.REQUEST_REPEAT_NANOS + 1_000_000;
				assertThat(sentMessages(SlotRequesterTests.this.requester.tick(nowNanos)))
					.containsExactly(SlotMessage.BodyCase.REQUEST);
			}
		}

		@Test
		void homeOfAQueuedRequestIsAbandonedAfterTwoRepetitionsWithoutResponse() {
			requestSlot();
			receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
			long nowNanos = SlotRequester.REQUEST_REPEAT_NANOS + 2_000_000;
			SlotRequesterTests.this.requester.tick(nowNanos);
			SlotRequesterTests.this.requester.tick(nowNanos + SlotRequester.REQUEST_REPEAT_NANOS + 1);
			assertThat(SlotRequesterTests.this.requester.tick(nowNanos + 2 * SlotRequester.REQUEST_REPEAT_NANOS + 2))
				.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
		}

		@Test
		void notHomeRefusalAbandonsTheHomeAtOnce() {
			requestSlot();
			assertThat(receive(message().setRefusal(SlotRefusal.newBuilder().setReason("not-home")).build()))
				.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
		}

		@Nested
		class HomesBehindSlowLinks {

			private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

			private static final long RETRIED_AT_NANOS = 2_000_000;

			private final SlotRequester requester = new SlotRequester(RUN_ID, "zone-0", RESPONSE_TIMEOUT);

			@BeforeEach
			void requestSlot() {
				this.requester.requestSlot(SlotRequesterTests.this.request, "service", HOME, 0);
			}

			// Guards against first attempts that wait for their whole objective at a home
			// that does not respond, because its link may need that time for a body.
			@Test
			void homeIsAbandonedForAFirstAttemptAfterTheMinimumTimeout() {
				assertThat(this.requester.tick(RESPONSE_TIMEOUT_NANOS)).isEmpty();
				assertThat(this.requester.tick(RESPONSE_TIMEOUT_NANOS + 1))
					.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
			}

			// Guards against retries that are refused while the response of their home
			// waits for a body on its link: only the home knows the retry budget.
			@Test
			void retryOfARequestThatArrivedWaitsForTheWholeTimeout() {
				this.requester.receive(HOME, grant("upstream-1"), 1_000_000);
				this.requester.completeAttempt(7, "upstream-1", AttemptResult.SHED, null);
				this.requester.retry(7, RETRIED_AT_NANOS);
				assertThat(this.requester.tick(RETRIED_AT_NANOS + RESPONSE_TIMEOUT.toNanos())).isEmpty();
				assertThat(this.requester.tick(RETRIED_AT_NANOS + RESPONSE_TIMEOUT.toNanos() + 1)).singleElement()
					.isInstanceOfSatisfying(SlotEffect.Decision.class,
							(decision) -> assertThat(decision.routingEffect()).isInstanceOfSatisfying(
									RoutingEffect.Refusal.class,
									(refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.HOME_SILENT)));
			}

		}

	}

	@Nested
	class OtherHomes {

		private static final String OTHER_HOME = "10.0.0.2:7000";

		private final SlotRequester requester = SlotRequesterTests.this.requester;

		private SlotEffect.HomeUnavailable leaveFirstHome() {
			requestSlot();
			return this.requester.tick(RESPONSE_TIMEOUT_NANOS + 1)
				.stream()
				.filter(SlotEffect.HomeUnavailable.class::isInstance)
				.map(SlotEffect.HomeUnavailable.class::cast)
				.findFirst()
				.orElseThrow();
		}

		private void requestSlotElsewhere() {
			assertThat(sentMessages(
					this.requester.requestSlotElsewhere(leaveFirstHome(), OTHER_HOME, RESPONSE_TIMEOUT_NANOS + 1)))
				.containsExactly(SlotMessage.BodyCase.REQUEST);
		}

		@Test
		void grantOfTheOtherHomeIsDispatched() {
			requestSlotElsewhere();
			assertThat(this.requester.receive(OTHER_HOME, grant("upstream-1"), RESPONSE_TIMEOUT_NANOS + 2))
				.singleElement()
				.isInstanceOf(SlotEffect.Decision.class);
		}

		// Guards against a request that two homes grant runs twice.
		@Test
		void lateGrantOfTheFirstHomeIsReturned() {
			requestSlotElsewhere();
			assertThat(sentMessages(receive(grant("upstream-1")))).containsExactly(SlotMessage.BodyCase.END,
					SlotMessage.BodyCase.CLOSE);
			assertThat(this.requester.receive(OTHER_HOME, grant("upstream-1"), RESPONSE_TIMEOUT_NANOS + 2))
				.singleElement()
				.isInstanceOf(SlotEffect.Decision.class);
		}

		@Test
		void homesThatWereAskedAreNamed() {
			SlotEffect.HomeUnavailable first = leaveFirstHome();
			assertThat(first.askedHomes()).containsExactly(HOME);
			this.requester.requestSlotElsewhere(first, OTHER_HOME, RESPONSE_TIMEOUT_NANOS + 1);
			assertThat(this.requester.tick(2 * RESPONSE_TIMEOUT_NANOS + 2)).anySatisfy((effect) -> assertThat(effect)
				.isInstanceOfSatisfying(SlotEffect.HomeUnavailable.class, (second) -> {
					assertThat(second.homeAddress()).isEqualTo(OTHER_HOME);
					assertThat(second.askedHomes()).containsExactlyInAnyOrder(HOME, OTHER_HOME);
				}));
		}

	}

	@Nested
	class Refusals {

		@Test
		void refusalKeepsItsReason() {
			requestSlot();
			assertThat(receive(
					message().setRefusal(SlotRefusal.newBuilder().setReason("overload").setRetryAfterMillis(120))
						.build()))
				.containsExactly(new SlotEffect.Decision(new RoutingEffect.Refusal(7, RefusalReason.OVERLOAD, 120)));
		}

	}

	@Nested
	class SilentHomes {

		private static final long LATER_NANOS = 500_000_000;

		private List<SlotEffect> retryAfter(AttemptResult result) {
			requestSlot();
			receive(grant("upstream-1"));
			SlotRequesterTests.this.requester.completeAttempt(7, "upstream-1", result, null);
			SlotRequesterTests.this.requester.retry(7, 2_000_000);
			return SlotRequesterTests.this.requester.tick(LATER_NANOS);
		}

		// Incident 1 of brazos-rota-grown: a request that had reached nothing was refused
		// with most of its time left, because its home did not respond to the retry.
		@Test
		void requestThatReachedNothingIsRoutedWithoutTheHome() {
			assertThat(retryAfter(AttemptResult.UNREACHABLE)).anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
		}

		// Guards against refusals for a silent home while the retry waits at the home for
		// a slot.
		@Test
		void retryThatIsQueuedAtTheHomeWaits() {
			retryAt(2_000_000);
			receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
			assertThat(sentMessages(SlotRequesterTests.this.requester.tick(300_000_000)))
				.containsExactly(SlotMessage.BodyCase.REQUEST);
			receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
			assertThat(sentMessages(SlotRequesterTests.this.requester.tick(600_000_000)))
				.containsExactly(SlotMessage.BodyCase.REQUEST);
			assertThat(receive(grant("upstream-2"))).singleElement().isInstanceOf(SlotEffect.Decision.class);
		}

		// Guards against a retry that waits until its deadline at a home that has ended.
		@Test
		void queuedRetryIsRefusedOnceItsHomeIsSilent() {
			retryAt(2_000_000);
			receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
			SlotRequesterTests.this.requester.tick(300_000_000);
			SlotRequesterTests.this.requester.tick(600_000_000);
			assertThat(SlotRequesterTests.this.requester.tick(900_000_000)).singleElement()
				.isInstanceOf(SlotEffect.Decision.class);
		}

		// Guards against a retry without a budget, at an instance that is not the home.
		@Test
		void queuedRetryIsRefusedIfItsHomeIsNoHomeAnyMore() {
			retryAt(2_000_000);
			receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
			SlotRequesterTests.this.requester.tick(300_000_000);
			SlotMessage refusal = message()
				.setRefusal(SlotRefusal.newBuilder().setReason(RefusalReason.NOT_HOME.wireName()))
				.build();
			assertThat(receive(refusal)).singleElement().isInstanceOf(SlotEffect.Decision.class);
		}

		private void retryAt(long nanos) {
			requestSlot();
			receive(grant("upstream-1"));
			SlotRequesterTests.this.requester.completeAttempt(7, "upstream-1", AttemptResult.SHED, null);
			SlotRequesterTests.this.requester.retry(7, nanos);
		}

		// The retry budget is known to the home only.
		@Test
		void requestThatMayHaveArrivedIsRefused() {
			assertThat(retryAfter(AttemptResult.SHED)).singleElement()
				.isInstanceOfSatisfying(SlotEffect.Decision.class,
						(decision) -> assertThat(decision.routingEffect()).isInstanceOfSatisfying(
								RoutingEffect.Refusal.class,
								(refusal) -> assertThat(refusal.reason()).isEqualTo(RefusalReason.HOME_SILENT)));
		}

	}

	@Nested
	class Completions {

		// Guards against a home that gives the token of a workspace back for a request
		// that ran. Earlier versions know the name of the result, and not the mark.
		@Test
		void homeIsToldThatARequestWasDeclinedWithoutItsId() {
			requestSlot();
			receive(grant("upstream-1"));
			List<SlotEffect> effects = SlotRequesterTests.this.requester.completeAttempt(7, "upstream-1",
					AttemptResult.SHED_WITHOUT_ID, null);
			SlotEnd end = ((SlotEffect.Send) effects.get(0)).message().getEnd();
			assertThat(end.getResult()).isEqualTo("SHED");
			assertThat(end.getConnectionLost()).isTrue();
		}

	}

	// Guards against requests that ran after their callers had been told that they never
	// would, or that ran twice.
	@Nested
	class CrossingDecisions {

		private final RoutingRequest onceOnly = new RoutingRequest(7, "caller", false, 1_000_000_000);

		private final SlotRequester requester = SlotRequesterTests.this.requester;

		@BeforeEach
		void requestSlotOnce() {
			this.requester.requestSlot(this.onceOnly, "service", HOME, 0);
		}

		private void failFirstAttempt() {
			receive(grant("upstream-1"));
			this.requester.completeAttempt(7, "upstream-1", AttemptResult.SHED, null);
			this.requester.retry(7, 2_000_000);
		}

		private static SlotMessage refusal() {
			return message().setRefusal(SlotRefusal.newBuilder().setReason("overload")).build();
		}

		private static List<SlotEffect> decisions(List<SlotEffect> effects) {
			return effects.stream().filter(SlotEffect.Decision.class::isInstance).toList();
		}

		private void assertReturned(List<SlotEffect> effects) {
			assertThat(decisions(effects)).isEmpty();
			assertThat(sentMessages(effects)).containsExactly(SlotMessage.BodyCase.END);
		}

		@Test
		void grantAfterTheRefusalForASilentHomeIsReturned() {
			failFirstAttempt();
			assertThat(decisions(this.requester.tick(500_000_000))).hasSize(1);
			assertReturned(receive(grant("upstream-2")));
		}

		@Test
		void grantAfterTheRefusalOfTheHomeIsReturned() {
			assertThat(decisions(receive(refusal()))).hasSize(1);
			assertReturned(receive(grant("upstream-1")));
		}

		@Test
		void secondGrantWhileAnAttemptIsInProgressIsReturned() {
			assertThat(decisions(receive(grant("upstream-1")))).hasSize(1);
			assertReturned(receive(grant("upstream-2")));
		}

		@Test
		void refusalAfterAGrantIsIgnored() {
			assertThat(decisions(receive(grant("upstream-1")))).hasSize(1);
			assertThat(receive(refusal())).isEmpty();
		}

		@Test
		void hedgeOfARefusedRequestIsReturned() {
			assertThat(decisions(receive(refusal()))).hasSize(1);
			SlotMessage.Builder hedge = grant("upstream-1").toBuilder();
			hedge.getGrantBuilder().setKind("hedge");
			assertReturned(receive(hedge.build()));
		}

		@Test
		void grantForARepeatedRetryIsDispatched() {
			failFirstAttempt();
			this.requester.tick(500_000_000);
			this.requester.retry(7, 501_000_000);
			assertThat(decisions(receive(grant("upstream-2")))).hasSize(1);
		}

	}

}
