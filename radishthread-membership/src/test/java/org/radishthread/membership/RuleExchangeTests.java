package org.radishthread.membership;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RuleExchange} with a rule file of 2,000 routes.
 */
class RuleExchangeTests {

	private static final int ROUTE_COUNT = 2_000;

	private static final long APPLY_MILLIS = 2_000;

	private static final int MAXIMUM_DIFFERENCE_BYTES = 2_000;

	private static final int MAXIMUM_WHOLE_BYTES = 60_000;

	private final RuleExchange control = new RuleExchange(true, APPLY_MILLIS);

	private final RuleExchange gateway = new RuleExchange(false, APPLY_MILLIS);

	private static RuleFile file(long revision) {
		return RuleFile.newBuilder()
			.setRevision(revision)
			.setContent(LargeRuleFile.create(revision, ROUTE_COUNT))
			.setDocument(ByteString.copyFromUtf8("document"))
			.build();
	}

	private RuleRequest request(long peerRevision, long nowMillis) {
		return this.gateway.createRequest("control", peerRevision, false, nowMillis).orElseThrow();
	}

	private RuleFile transfer(long nowMillis) {
		RuleFile response = this.control.respond(request(this.control.revision(), nowMillis)).orElseThrow();
		this.gateway.receive(response, nowMillis);
		return response;
	}

	@Nested
	class Sizes {

		@Test
		void oneChangedLineIsSentAsADifference() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			RuleFile whole = transfer(0);
			assertThat(whole.getSerializedSize()).isLessThan(MAXIMUM_WHOLE_BYTES);
			RuleExchangeTests.this.control.offer(file(2), 1);
			RuleFile difference = transfer(1);
			assertThat(difference.getSerializedSize()).isLessThan(MAXIMUM_DIFFERENCE_BYTES);
			assertThat(RuleExchangeTests.this.gateway.lastTransfer().form()).isEqualTo(RuleTransfer.Form.DIFFERENCE);
			assertThat(RuleExchangeTests.this.gateway.ruleFile().getContent()).isEqualTo(file(2).getContent());
		}

		@Test
		void peerThatMissedRevisionsReceivesTheNewestOnce() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			transfer(0);
			for (int revision = 2; revision <= 13; revision++) {
				RuleExchangeTests.this.control.offer(file(revision), revision);
			}
			assertThat(transfer(20).getSerializedSize()).isLessThan(MAXIMUM_DIFFERENCE_BYTES);
			assertThat(RuleExchangeTests.this.gateway.ruleFile().getContent()).isEqualTo(file(13).getContent());
		}

		@Test
		void documentIsNotSent() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			assertThat(RuleExchangeTests.this.control.respond(RuleRequest.getDefaultInstance()).orElseThrow())
				.satisfies((plain) -> assertThat(plain.getDocument().isEmpty()).isTrue());
		}

	}

	@Nested
	class Upgrades {

		@Test
		void peerThatAcceptsNothingEncodedReceivesThePlainFile() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			RuleFile response = RuleExchangeTests.this.control
				.respond(RuleRequest.newBuilder().setKnownRevision(0).build())
				.orElseThrow();
			assertThat(response.getContent()).isEqualTo(file(1).getContent());
			assertThat(response.hasDifference()).isFalse();
			assertThat(response.getCompressedContent().isEmpty()).isTrue();
		}

		@Test
		void plainFileOfAFormerVersionIsApplied() {
			RuleExchangeTests.this.gateway.receive(file(1), 0);
			assertThat(RuleExchangeTests.this.gateway.ruleFile().getContent()).isEqualTo(file(1).getContent());
		}

	}

	@Nested
	class Differences {

		@Test
		void differenceFromOtherRulesIsRefusedAndTheWholeFileRequested() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			transfer(0);
			RuleExchangeTests.this.control.offer(file(2), 1);
			RuleFile difference = RuleExchangeTests.this.control.respond(request(2, 1)).orElseThrow();
			RuleFile damaged = difference.toBuilder()
				.setDifference(difference.getDifference().toBuilder().setDigest(ByteString.copyFromUtf8("other")))
				.build();
			assertThat(RuleExchangeTests.this.gateway.receive(damaged, 2)).isFalse();
			assertThat(RuleExchangeTests.this.gateway.revision()).isEqualTo(1);
			assertThat(RuleExchangeTests.this.gateway.lastTransfer().refusedCount()).isEqualTo(1);
			RuleFile whole = transfer(3);
			assertThat(whole.hasDifference()).isFalse();
			assertThat(RuleExchangeTests.this.gateway.revision()).isEqualTo(2);
		}

		@Test
		void differenceFromAnEarlierRevisionThatArrivesLateIsRefused() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			transfer(0);
			RuleExchangeTests.this.control.offer(file(3), 1);
			RuleFile late = RuleExchangeTests.this.control.respond(request(3, 1)).orElseThrow();
			RuleExchangeTests.this.gateway.receive(file(2), 2);
			assertThat(RuleExchangeTests.this.gateway.receive(late, 3)).isFalse();
			assertThat(RuleExchangeTests.this.gateway.ruleFile().getContent()).isEqualTo(file(2).getContent());
		}

		@Test
		void lateDifferenceDoesNotCostAWholeFile() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			transfer(0);
			RuleRequest earlyRequest = request(2, 1);
			RuleExchangeTests.this.control.offer(file(2), 2);
			transfer(600);
			RuleExchangeTests.this.control.offer(file(3), 601);
			RuleFile lateDifference = RuleExchangeTests.this.control.respond(earlyRequest).orElseThrow();
			assertThat(lateDifference.getDifference().getBaseRevision()).isEqualTo(1);
			assertThat(RuleExchangeTests.this.gateway.receive(lateDifference, 602)).isFalse();
			assertThat(transfer(603).getSerializedSize()).isLessThan(MAXIMUM_DIFFERENCE_BYTES);
			assertThat(RuleExchangeTests.this.gateway.ruleFile().getContent()).isEqualTo(file(3).getContent());
		}

		@Test
		void baseWithAnotherDigestIsNotUsed() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			RuleExchangeTests.this.control.offer(file(2), 0);
			RuleFile response = RuleExchangeTests.this.control
				.respond(RuleRequest.newBuilder()
					.setKnownRevision(1)
					.setAcceptsEncoded(true)
					.setKnownDigest(ByteString.copyFromUtf8("other"))
					.build())
				.orElseThrow();
			assertThat(response.hasDifference()).isFalse();
		}

	}

	@Nested
	class Requests {

		@Test
		void peerWithTheSameRevisionIsSentNothing() {
			RuleExchangeTests.this.control.offer(file(1), 0);
			assertThat(RuleExchangeTests.this.control.respond(RuleRequest.newBuilder().setKnownRevision(1).build()))
				.isEmpty();
		}

		@Test
		void oneRequestAtATimeIsUnderWay() {
			request(1, 0);
			assertThat(RuleExchangeTests.this.gateway.createRequest("other", 1, false, 400)).isEmpty();
			assertThat(RuleExchangeTests.this.gateway.createRequest("other", 2, false, 500)).isPresent();
			assertThat(RuleExchangeTests.this.gateway.createRequest("control", 2, false, 1_400)).isEmpty();
			assertThat(RuleExchangeTests.this.gateway.createRequest("control", 2, false, 1_500)).isPresent();
		}

		// Guards against a revision that comes a second late because its request was lost
		// on a connection that the gateway has replaced meanwhile.
		@Test
		void nextRequestIsFreeWhenThePeerOfTheLastOneIsSilent() {
			request(1, 0);
			RuleExchangeTests.this.gateway.releaseRequest("other");
			assertThat(RuleExchangeTests.this.gateway.createRequest("other", 1, false, 400)).isEmpty();
			RuleExchangeTests.this.gateway.releaseRequest("control");
			assertThat(RuleExchangeTests.this.gateway.createRequest("other", 1, false, 400)).isPresent();
			assertThat(RuleExchangeTests.this.gateway.createRequest("other", 1, false, 1_300)).isEmpty();
		}

		@Test
		void fartherPeerIsAskedOnlyWhenNoNearerOneHasTheRevisionInTime() {
			assertThat(RuleExchangeTests.this.gateway.createRequest("far", 1, true, 0)).isEmpty();
			assertThat(RuleExchangeTests.this.gateway.overdueAddress(200)).isEmpty();
			assertThat(RuleExchangeTests.this.gateway.overdueAddress(251)).isEqualTo("far");
			assertThat(RuleExchangeTests.this.gateway.createOverdueRequest(251)).isPresent();
			assertThat(RuleExchangeTests.this.gateway.overdueAddress(300)).isEmpty();
		}

	}

	@Nested
	class Confirmation {

		@Test
		void revisionThatIsAppliedIsConfirmedAtOnce() {
			RuleExchangeTests.this.gateway.receive(file(2), 0);
			RuleExchangeTests.this.gateway.confirmRevision(2, 0);
			assertThat(RuleExchangeTests.this.gateway.isConfirmed()).isTrue();
		}

		@Test
		void revisionThatArrivesSoonAfterItsConfirmationIsConfirmed() {
			RuleExchangeTests.this.gateway.confirmRevision(2, 0);
			RuleExchangeTests.this.gateway.receive(file(1), 100);
			assertThat(RuleExchangeTests.this.gateway.isConfirmed()).isFalse();
			RuleExchangeTests.this.gateway.receive(file(2), 200);
			assertThat(RuleExchangeTests.this.gateway.isConfirmed()).isTrue();
		}

		@Test
		void revisionThatArrivesLongAfterItsConfirmationIsNotConfirmed() {
			RuleExchangeTests.this.gateway.confirmRevision(2, 0);
			RuleExchangeTests.this.gateway.receive(file(2), 2_001);
			assertThat(RuleExchangeTests.this.gateway.isConfirmed()).isFalse();
		}

		@Test
		void rulesAreNotConfirmedByTheirArrivalAlone() {
			RuleExchangeTests.this.gateway.offer(file(1), Long.MIN_VALUE);
			RuleExchangeTests.this.gateway.receive(file(2), 100);
			assertThat(RuleExchangeTests.this.gateway.isConfirmed()).isFalse();
		}

		@Test
		void confirmationIsDroppedWhenTheProcessWasSuspended() {
			RuleExchangeTests.this.gateway.confirmRevision(2, 0);
			RuleExchangeTests.this.gateway.resetAfterFreeze();
			RuleExchangeTests.this.gateway.receive(file(2), 100);
			assertThat(RuleExchangeTests.this.gateway.isConfirmed()).isFalse();
		}

	}

}
