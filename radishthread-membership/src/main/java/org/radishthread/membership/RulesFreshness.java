package org.radishthread.membership;

import java.util.LinkedHashMap;
import java.util.Map;

import org.radishthread.protocol.Gossip;

/**
 * Tracks as of when the applied rules are known to be the newest accepted ones. A control
 * instance knows it from the leader of the control group; it sends the age of that
 * knowledge with each response to a report. A gateway counts the age from the time when
 * it sent the report, so that messages may be delayed without making the knowledge seem
 * newer than it is. Not thread-safe; times are monotonic, in milliseconds.
 */
final class RulesFreshness {

	/**
	 * The time as of which the rules are known to be current if that is not known.
	 */
	static final long UNKNOWN = Long.MIN_VALUE / 2;

	// A response to an older report says nothing about the time since.
	private static final int MAXIMUM_SENT_REPORTS = 32;

	// When each report was sent, by its heartbeat, in the order of sending.
	private final Map<Long, Long> sentReports = new LinkedHashMap<>();

	private long currentAtMillis = UNKNOWN;

	long currentAtMillis() {
		return this.currentAtMillis;
	}

	void recordCurrent(long atMillis) {
		this.currentAtMillis = Math.max(this.currentAtMillis, atMillis);
	}

	void recordReport(long heartbeat, long nowMillis) {
		this.sentReports.put(heartbeat, nowMillis);
		if (this.sentReports.size() > MAXIMUM_SENT_REPORTS) {
			this.sentReports.remove(this.sentReports.keySet().iterator().next());
		}
	}

	// Processes a response of an instance whose revision is not higher than the applied
	// one.
	void recordResponse(Gossip response) {
		Long sentMillis = this.sentReports.get(response.getReport());
		if (sentMillis != null && response.hasRulesAgeMillis()) {
			recordCurrent(sentMillis - response.getRulesAgeMillis());
		}
	}

	void describe(Gossip.Builder response, long reportHeartbeat, long nowMillis) {
		response.setReport(reportHeartbeat);
		if (this.currentAtMillis != UNKNOWN) {
			response.setRulesAgeMillis(nowMillis - this.currentAtMillis);
		}
	}

	// To be called after this process was suspended.
	void reset() {
		this.sentReports.clear();
		this.currentAtMillis = UNKNOWN;
	}

}
