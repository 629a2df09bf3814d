package org.radishthread.agreement;

import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ControlSnapshot;
import org.radishthread.protocol.Done;
import org.radishthread.protocol.LogEntry;

/**
 * The replicated state machine: applies committed commands in their order. Time comes
 * from the entries, so that all replicas agree on it.
 */
final class ControlState {

	private final RuleRegister rules = new RuleRegister();

	private final ClaimRegister claims;

	private long clockMillis;

	ControlState(ClaimLimits limits) {
		this.claims = new ClaimRegister(limits);
	}

	RuleRegister rules() {
		return this.rules;
	}

	int claimCount() {
		return this.claims.size();
	}

	// Returns the number of records that a snapshot holds.
	int size() {
		return this.rules.size() + this.claims.size();
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

	ControlSnapshot save() {
		ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder().setClockMillis(this.clockMillis);
		this.rules.save(snapshot);
		this.claims.save(snapshot);
		return snapshot.build();
	}

	void restore(ControlSnapshot snapshot) {
		this.clockMillis = snapshot.getClockMillis();
		this.rules.restore(snapshot);
		this.claims.restore(snapshot);
	}

}
