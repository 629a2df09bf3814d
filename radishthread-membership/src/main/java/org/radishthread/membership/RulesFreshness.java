package org.radishthread.membership;

import org.radishthread.kernel.Freshness;
import org.radishthread.protocol.Gossip;

/**
 * Tracks as of when the applied rules are known to be the newest accepted ones. A control
 * instance knows it from the leader of the control group; it sends the age of that
 * knowledge with each response to a report. Not thread-safe; times are monotonic, in
 * milliseconds.
 */
final class RulesFreshness {

	private final Freshness freshness = new Freshness();

	long currentAtMillis() {
		return this.freshness.currentAtMillis();
	}

	void recordCurrent(long atMillis) {
		this.freshness.recordCurrent(atMillis);
	}

	void recordReport(long heartbeat, long nowMillis) {
		this.freshness.recordSent(heartbeat, nowMillis);
	}

	// Processes a response of an instance whose revision is not higher than the applied
	// one.
	void recordResponse(Gossip response) {
		if (response.hasRulesAgeMillis()) {
			this.freshness.recordConfirmation(response.getReport(), response.getRulesAgeMillis());
		}
	}

	void describe(Gossip.Builder response, long nowMillis) {
		this.freshness.ageMillis(nowMillis).ifPresent(response::setRulesAgeMillis);
	}

	// To be called after this process was suspended.
	void reset() {
		this.freshness.reset();
	}

}
