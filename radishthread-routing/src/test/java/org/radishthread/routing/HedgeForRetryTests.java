package org.radishthread.routing;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.protocol.SlotGrant;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotRefusal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotRequester}: the grant of a hedge that arrives after the slow
 * attempt has failed.
 */
class HedgeForRetryTests {

	private static final String HOME = "10.0.0.1:7000";

	private static final long RUN_ID = 42;

	private final SlotRequester requester = new SlotRequester(RUN_ID, "zone-0", SlotRequester.MINIMUM_RESPONSE_TIMEOUT);

	@BeforeEach
	void failFirstAttemptWhileAHedgeIsGranted() {
		this.requester.requestSlot(new RoutingRequest(7, "caller", true, 1_000_000_000), "service", HOME, 0);
		this.requester.receive(HOME, grant("upstream-1", "first"), 1_000_000);
		this.requester.hedge(7);
		this.requester.completeAttempt(7, "upstream-1", AttemptResult.FAILURE, null);
		this.requester.retry(7, 2_000_000);
	}

	private static SlotMessage.Builder message() {
		return SlotMessage.newBuilder().setRun(RUN_ID).setTicket(7).setService("service");
	}

	private static SlotMessage grant(String upstream, String kind) {
		return message().setGrant(SlotGrant.newBuilder().setUpstream(upstream).setAddress("10.0.0.9:1").setKind(kind))
			.build();
	}

	private static SlotMessage answer(String answer) {
		return answer.equals("grant") ? grant("upstream-3", "retry")
				: message().setRefusal(SlotRefusal.newBuilder().setReason("retry-budget")).build();
	}

	private static List<RoutingEffect> decisions(List<SlotEffect> effects) {
		return effects.stream()
			.filter(SlotEffect.Decision.class::isInstance)
			.map((effect) -> ((SlotEffect.Decision) effect).routingEffect())
			.toList();
	}

	// The exchange that cannot use the upstream of a hedge leaves the decision to others.
	// The requester had taken the hedge for the answer to the retry and dropped the
	// answer of the home, so that the request waited for its deadline.
	@ParameterizedTest
	@ValueSource(strings = { "grant", "refusal" })
	void answerToTheRetryIsNotLostIfTheHedgeIsNotSent(String answer) {
		List<RoutingEffect> hedge = decisions(this.requester.receive(HOME, grant("upstream-2", "hedge"), 3_000_000));
		boolean dispatchedAsHedge = hedge.stream()
			.anyMatch((effect) -> effect instanceof RoutingEffect.Dispatch dispatch
					&& dispatch.kind() == AttemptKind.HEDGE);
		this.requester.completeAttempt(7, "upstream-2", AttemptResult.CANCELLED, null);
		List<RoutingEffect> decisions = decisions(this.requester.receive(HOME, answer(answer), 4_000_000));
		assertThat(!dispatchedAsHedge || !decisions.isEmpty()).as("a decision that the exchange acts on").isTrue();
	}

}
