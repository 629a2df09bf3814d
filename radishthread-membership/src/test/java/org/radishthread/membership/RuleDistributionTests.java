package org.radishthread.membership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the distribution of 2,000 routes to 141 gateways with links of 2 Mbit/s.
 */
class RuleDistributionTests {

	private static final int CONTROL_COUNT = 11;

	private static final int GATEWAY_COUNT = 141;

	private static final int ROUTE_COUNT = 2_000;

	// The platform expects accepted rules to be in force everywhere after this time.
	private static final long APPLY_MILLIS = 2_000;

	private static final long START_MILLIS = 8_000;

	private static final long MAXIMUM_BYTES_OF_A_CHANGE = 2_000;

	private static final long MAXIMUM_BYTES_OF_A_START = 60_000;

	private final SimulatedFleet fleet = new SimulatedFleet(CONTROL_COUNT, GATEWAY_COUNT, 5);

	RuleDistributionTests() {
		this.fleet.ruleContents = (revision) -> LargeRuleFile.create(revision, ROUTE_COUNT);
		this.fleet.acceptRules(1);
		this.fleet.run(START_MILLIS);
		this.fleet.resetCounters();
	}

	private void assertApplied(long revision) {
		for (String name : this.fleet.names(false)) {
			assertThat(this.fleet.membership(name).appliedRules().getRevision()).as(name).isEqualTo(revision);
			assertThat(this.fleet.membership(name).appliedRules().getContent()).as(name)
				.isEqualTo(this.fleet.ruleContents.apply(revision));
		}
		assertThat(this.fleet.readyCount()).as("ready instances").isEqualTo(this.fleet.size());
	}

	@Test
	void oneChangedLineReachesAllGatewaysAsADifference() {
		this.fleet.acceptRules(2);
		this.fleet.run(APPLY_MILLIS);
		assertApplied(2);
		assertThat(this.fleet.maximumReceivedRuleBytes()).isLessThan(MAXIMUM_BYTES_OF_A_CHANGE);
	}

	@Test
	void gatewaysAreReadyTwoSecondsAfterTheStartOfAll() {
		for (String name : this.fleet.names(true)) {
			this.fleet.restart(name);
		}
		for (String name : this.fleet.names(false)) {
			this.fleet.restart(name);
		}
		this.fleet.run(APPLY_MILLIS);
		assertApplied(1);
		assertThat(this.fleet.maximumReceivedRuleBytes()).isLessThan(MAXIMUM_BYTES_OF_A_START);
	}

	@Test
	void revisionsInQuickSuccessionReachAllGateways() {
		int lastRevision = 13;
		for (int revision = 2; revision <= lastRevision; revision++) {
			this.fleet.acceptRules(revision);
			this.fleet.run(100);
		}
		this.fleet.run(APPLY_MILLIS - 100);
		assertApplied(lastRevision);
		assertThat(this.fleet.maximumReceivedRuleBytes()).isLessThan((lastRevision - 1) * MAXIMUM_BYTES_OF_A_CHANGE);
	}

	@Test
	void silentControlInstanceInATransferIsReplacedByAnother() {
		this.fleet.acceptRules(2);
		this.fleet.run(1);
		this.fleet.silenceOutboundConnections("control-4");
		this.fleet.run(APPLY_MILLIS);
		for (String name : this.fleet.names(false)) {
			assertThat(this.fleet.membership(name).appliedRules().getRevision()).as(name).isEqualTo(2);
		}
	}

	@Test
	void gatewayThatWasCutOffReceivesTheNewestRevisionAsADifference() {
		String name = "gateway-7";
		this.fleet.freeze(name, 5_000);
		for (int revision = 2; revision <= 6; revision++) {
			this.fleet.acceptRules(revision);
			this.fleet.run(1_000);
		}
		this.fleet.resetCounters();
		this.fleet.run(3_000);
		assertApplied(6);
		assertThat(this.fleet.maximumReceivedRuleBytes()).isLessThan(2 * MAXIMUM_BYTES_OF_A_CHANGE);
	}

}
