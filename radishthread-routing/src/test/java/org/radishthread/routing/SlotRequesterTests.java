package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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

	private static final long RUN = 42;

	private final SlotRequester requester = new SlotRequester(RUN, "zone-0");

	private final RoutingRequest ticket = new RoutingRequest(7, "caller", true, 1_000_000_000);

	private List<SlotEffect> admit() {
		return this.requester.requestSlot(this.ticket, "service", HOME, 0);
	}

	private static SlotMessage.Builder message() {
		return SlotMessage.newBuilder().setRun(RUN).setTicket(7).setService("service");
	}

	private static SlotMessage grant(String upstream) {
		return message()
			.setGrant(SlotGrant.newBuilder().setUpstream(upstream).setAddress("10.0.0.9:1").setKind("first"))
			.build();
	}

	private List<SlotEffect> receive(SlotMessage message) {
		return this.requester.receive(HOME, message, 1_000_000);
	}

	private static List<SlotMessage.BodyCase> sent(List<SlotEffect> effects) {
		return effects.stream()
			.filter(SlotEffect.Send.class::isInstance)
			.map((effect) -> ((SlotEffect.Send) effect).message().getBodyCase())
			.toList();
	}

	@Nested
	class Grants {

		@Test
		void firstGrantIsADispatchAndARepeatedOneNothing() {
			assertThat(sent(admit())).containsExactly(SlotMessage.BodyCase.REQUEST);
			assertThat(receive(grant("upstream-1"))).singleElement()
				.isInstanceOfSatisfying(SlotEffect.Decision.class,
						(decided) -> assertThat(decided.routingEffect()).isInstanceOf(RoutingEffect.Dispatch.class));
			assertThat(receive(grant("upstream-1"))).isEmpty();
		}

		@Test
		void grantForAClosedRequestIsGivenBack() {
			admit();
			SlotRequesterTests.this.requester.close(7);
			assertThat(sent(receive(grant("upstream-1")))).containsExactly(SlotMessage.BodyCase.END,
					SlotMessage.BodyCase.CLOSE);
		}

		@Test
		void grantForAnEarlierRunIsIgnored() {
			admit();
			assertThat(receive(grant("upstream-1").toBuilder().setRun(RUN + 1).build())).isEmpty();
		}

	}

	@Nested
	class SilentHomes {

		@Test
		void homeWithoutAnyAnswerIsGivenUp() {
			admit();
			assertThat(SlotRequesterTests.this.requester.tick(SlotRequester.RESPONSE_TIMEOUT_NANOS)).isEmpty();
			assertThat(SlotRequesterTests.this.requester.tick(SlotRequester.RESPONSE_TIMEOUT_NANOS + 1))
				.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
			assertThat(SlotRequesterTests.this.requester.hasOpenRequest(7)).isFalse();
		}

		@Test
		void waitingRequestIsAskedForAgainAndKeptWhileTheHomeAnswers() {
			admit();
			long now = 1_000_000;
			for (int i = 0; i < 5; i++) {
				receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
				now += SlotRequester.REQUEST_REPEAT_NANOS + 1_000_000;
				assertThat(sent(SlotRequesterTests.this.requester.tick(now)))
					.containsExactly(SlotMessage.BodyCase.REQUEST);
			}
		}

		@Test
		void waitingRequestIsGivenUpAfterTwoUnansweredQuestions() {
			admit();
			receive(message().setQueued(SlotQueued.getDefaultInstance()).build());
			long now = SlotRequester.REQUEST_REPEAT_NANOS + 2_000_000;
			SlotRequesterTests.this.requester.tick(now);
			SlotRequesterTests.this.requester.tick(now + SlotRequester.REQUEST_REPEAT_NANOS + 1);
			assertThat(SlotRequesterTests.this.requester.tick(now + 2 * SlotRequester.REQUEST_REPEAT_NANOS + 2))
				.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
		}

		@Test
		void instanceThatIsNoHomeIsLeftAtOnce() {
			admit();
			assertThat(receive(message().setRefusal(SlotRefusal.newBuilder().setReason("not-home")).build()))
				.anyMatch(SlotEffect.HomeUnavailable.class::isInstance);
		}

	}

	@Nested
	class Refusals {

		@Test
		void refusalIsHandedOnWithItsReason() {
			admit();
			assertThat(receive(
					message().setRefusal(SlotRefusal.newBuilder().setReason("overload").setRetryAfterMillis(120))
						.build()))
				.containsExactly(new SlotEffect.Decision(new RoutingEffect.Refusal(7, RefusalReason.OVERLOAD, 120)));
		}

	}

}
