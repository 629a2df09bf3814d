package org.radishthread.agreement;

import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.Done;
import org.radishthread.protocol.LogEntry;

/**
 * Replicated state machine of the control group: applies committed commands in log order.
 * Uses the timestamps of the log entries as its clock, so that all replicas compute the
 * same state.
 */
final class ControlStateMachine {

	private final RuleRegistry rules = new RuleRegistry();

	private final ClaimRegistry claims;

	private long clockMillis;

	ControlStateMachine(ClaimLimits limits) {
		this.claims = new ClaimRegistry(limits);
	}

	RuleRegistry rules() {
		return this.rules;
	}

	int claimCount() {
		return this.claims.claimCount();
	}

	// Counts the rule revisions and claims that a snapshot contains.
	int recordCount() {
		return this.rules.revisionCount() + this.claims.claimCount();
	}

	ControlResponse apply(LogEntry entry) {
		this.clockMillis = Math.max(this.clockMillis, entry.getProposedAtMillis());
		Command command = entry.getCommand();
		ControlResponse.Builder response = ControlResponse.newBuilder().setDone(Done.getDefaultInstance());
		switch (command.getBodyCase()) {
			case SUBMIT_RULES -> response.setRules(this.rules.submit(command.getSubmitRules(), this.clockMillis));
			case CLAIM -> response.setClaim(this.claims.claim(command.getClaim(), this.clockMillis));
			case COMPLETION -> this.claims.complete(command.getCompletion());
			case RELEASE -> this.claims.release(command.getRelease());
			default -> {
				return response.build();
			}
		}
		return response.build();
	}

	ControlSnapshot createSnapshot() {
		ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder().setClockMillis(this.clockMillis);
		this.rules.writeTo(snapshot);
		this.claims.writeTo(snapshot);
		return snapshot.build();
	}

	void restore(ControlSnapshot snapshot) {
		this.clockMillis = snapshot.getClockMillis();
		this.rules.restore(snapshot);
		this.claims.restore(snapshot);
	}

}
