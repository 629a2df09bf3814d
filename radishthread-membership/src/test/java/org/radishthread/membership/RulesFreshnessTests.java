package org.radishthread.membership;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Freshness;
import org.radishthread.protocol.Gossip;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RulesFreshness}.
 */
class RulesFreshnessTests {

	private static final long START_MILLIS = 50_000;

	private final RulesFreshness control = new RulesFreshness();

	private final RulesFreshness gateway = new RulesFreshness();

	private Gossip respond(long reportHeartbeat, long nowMillis) {
		Gossip.Builder response = Gossip.newBuilder().setReport(reportHeartbeat);
		this.control.describe(response, nowMillis);
		return response.build();
	}

	@Nested
	class Responses {

		@Test
		void ageCountsFromTheReport() {
			RulesFreshnessTests.this.control.recordCurrent(START_MILLIS - 300);
			RulesFreshnessTests.this.gateway.recordReport(7, START_MILLIS - 40);
			RulesFreshnessTests.this.gateway.recordResponse(respond(7, START_MILLIS));
			assertThat(RulesFreshnessTests.this.gateway.currentAtMillis()).isEqualTo(START_MILLIS - 340);
		}

		@Test
		void delayedResponseDoesNotCountForALaterReport() {
			RulesFreshnessTests.this.control.recordCurrent(START_MILLIS);
			RulesFreshnessTests.this.gateway.recordReport(7, START_MILLIS);
			Gossip delayedResponse = respond(7, START_MILLIS);
			RulesFreshnessTests.this.gateway.recordReport(8, START_MILLIS + 3_000);
			RulesFreshnessTests.this.gateway.recordResponse(delayedResponse);
			assertThat(RulesFreshnessTests.this.gateway.currentAtMillis()).isEqualTo(START_MILLIS);
		}

		@Test
		void controlInstanceThatKnowsNothingGivesNoAge() {
			RulesFreshnessTests.this.gateway.recordReport(7, START_MILLIS);
			RulesFreshnessTests.this.gateway.recordResponse(respond(7, START_MILLIS));
			assertThat(RulesFreshnessTests.this.gateway.currentAtMillis()).isEqualTo(Freshness.UNKNOWN);
		}

		@Test
		void updateWithoutReportDoesNotCount() {
			RulesFreshnessTests.this.control.recordCurrent(START_MILLIS);
			RulesFreshnessTests.this.gateway.recordReport(7, START_MILLIS);
			RulesFreshnessTests.this.gateway.recordResponse(respond(0, START_MILLIS));
			assertThat(RulesFreshnessTests.this.gateway.currentAtMillis()).isEqualTo(Freshness.UNKNOWN);
		}

	}

	@Nested
	class Freezes {

		@Test
		void responseFromBeforeIsIgnored() {
			RulesFreshnessTests.this.control.recordCurrent(START_MILLIS);
			RulesFreshnessTests.this.gateway.recordReport(7, START_MILLIS);
			RulesFreshnessTests.this.gateway.reset();
			RulesFreshnessTests.this.gateway.recordResponse(respond(7, START_MILLIS));
			assertThat(RulesFreshnessTests.this.gateway.currentAtMillis()).isEqualTo(Freshness.UNKNOWN);
		}

	}

}
