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

	private final EvacuationRegistry evacuations = new EvacuationRegistry();

	private long clockMillis;

	ControlStateMachine(ClaimLimits limits) {
		this.claims = new ClaimRegistry(limits);
	}

	RuleRegistry rules() {
		return this.rules;
	}

	EvacuationRegistry evacuations() {
		return this.evacuations;
	}

	int claimCount() {
		return this.claims.claimCount();
	}

	// Counts the rule revisions, claims and zones that a snapshot contains.
	int recordCount() {
		return this.rules.revisionCount() + this.claims.claimCount() + this.evacuations.zoneCount();
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
			case EVACUATION ->
				response.setEvacuation(this.evacuations.order(command.getEvacuation(), this.clockMillis));
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
		this.evacuations.writeTo(snapshot);
		return snapshot.build();
	}

	void restore(ControlSnapshot snapshot) {
		this.clockMillis = snapshot.getClockMillis();
		this.rules.restore(snapshot);
		this.claims.restore(snapshot);
		this.evacuations.restore(snapshot);
	}

}
