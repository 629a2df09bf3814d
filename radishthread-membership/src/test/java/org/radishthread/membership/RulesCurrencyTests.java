package org.radishthread.membership;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.Gossip;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RulesCurrency}.
 */
class RulesCurrencyTests {

	private static final long START_MILLIS = 50_000;

	private final RulesCurrency control = new RulesCurrency();

	private final RulesCurrency gateway = new RulesCurrency();

	private Gossip respond(long reportHeartbeat, long nowMillis) {
		Gossip.Builder response = Gossip.newBuilder();
		this.control.describe(response, reportHeartbeat, nowMillis);
		return response.build();
	}

	@Nested
	class Responses {

		@Test
		void ageCountsFromTheReport() {
			RulesCurrencyTests.this.control.recordCurrent(START_MILLIS - 300);
			RulesCurrencyTests.this.gateway.recordReport(7, START_MILLIS - 40);
			RulesCurrencyTests.this.gateway.recordResponse(respond(7, START_MILLIS));
			assertThat(RulesCurrencyTests.this.gateway.currentAtMillis()).isEqualTo(START_MILLIS - 340);
		}

		@Test
		void delayedResponseDoesNotCountForALaterReport() {
			RulesCurrencyTests.this.control.recordCurrent(START_MILLIS);
			RulesCurrencyTests.this.gateway.recordReport(7, START_MILLIS);
			Gossip delayedResponse = respond(7, START_MILLIS);
			RulesCurrencyTests.this.gateway.recordReport(8, START_MILLIS + 3_000);
			RulesCurrencyTests.this.gateway.recordResponse(delayedResponse);
			assertThat(RulesCurrencyTests.this.gateway.currentAtMillis()).isEqualTo(START_MILLIS);
		}

		@Test
		void controlInstanceThatKnowsNothingGivesNoAge() {
			RulesCurrencyTests.this.gateway.recordReport(7, START_MILLIS);
			RulesCurrencyTests.this.gateway.recordResponse(respond(7, START_MILLIS));
			assertThat(RulesCurrencyTests.this.gateway.currentAtMillis()).isEqualTo(RulesCurrency.UNKNOWN);
		}

		@Test
		void updateWithoutReportDoesNotCount() {
			RulesCurrencyTests.this.control.recordCurrent(START_MILLIS);
			RulesCurrencyTests.this.gateway.recordReport(7, START_MILLIS);
			RulesCurrencyTests.this.gateway.recordResponse(respond(0, START_MILLIS));
			assertThat(RulesCurrencyTests.this.gateway.currentAtMillis()).isEqualTo(RulesCurrency.UNKNOWN);
		}

	}

	@Nested
	class Freezes {

		@Test
		void responseFromBeforeIsIgnored() {
			RulesCurrencyTests.this.control.recordCurrent(START_MILLIS);
			RulesCurrencyTests.this.gateway.recordReport(7, START_MILLIS);
			RulesCurrencyTests.this.gateway.reset();
			RulesCurrencyTests.this.gateway.recordResponse(respond(7, START_MILLIS));
			assertThat(RulesCurrencyTests.this.gateway.currentAtMillis()).isEqualTo(RulesCurrency.UNKNOWN);
		}

	}

}
