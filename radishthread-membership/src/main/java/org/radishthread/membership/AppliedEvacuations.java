package org.radishthread.membership;

import java.util.Optional;

import org.radishthread.kernel.Freshness;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.Gossip;

/**
 * Holds the evacuations of availability zones that this instance applies, and as of when
 * they are known to be the newest. Gossip and reports carry the version of their sender
 * only, and nothing if no evacuation was ever ordered; of two instances with different
 * versions, the one with the higher version sends the other what it has. Not thread-safe;
 * times are monotonic, in milliseconds.
 */
final class AppliedEvacuations {

	private Evacuations evacuations = Evacuations.getDefaultInstance();

	private long highestKnownVersion;

	private final Freshness freshness = new Freshness();

	Evacuations evacuations() {
		return this.evacuations;
	}

	long version() {
		return this.evacuations.getVersion();
	}

	// Returns whether the evacuations were applied.
	boolean applyIfNewer(Evacuations offeredEvacuations) {
		recordVersion(offeredEvacuations.getVersion());
		if (offeredEvacuations.getVersion() <= version()) {
			return false;
		}
		this.evacuations = offeredEvacuations;
		return true;
	}

	private void recordVersion(long version) {
		this.highestKnownVersion = Math.max(this.highestKnownVersion, version);
	}

	// Whether another instance is known to have a higher version.
	boolean isBehind() {
		return this.highestKnownVersion > version();
	}

	// Returns what is to be sent to the sender of a gossip message or a report: the
	// evacuations that it lacks, or as a question those that this instance has. A control
	// instance whose response names a higher version sends them without being asked.
	Optional<Evacuations> respond(Gossip gossip) {
		recordVersion(gossip.getEvacuationsVersion());
		boolean senderIsBehind = gossip.getEvacuationsVersion() < version();
		boolean mustAsk = gossip.getEvacuationsVersion() > version() && !GatewayReports.isResponse(gossip);
		return (senderIsBehind || mustAsk) ? Optional.of(this.evacuations) : Optional.empty();
	}

	// Adds nothing if no evacuation was ever ordered.
	Gossip describe(Gossip gossip) {
		return (version() > 0) ? gossip.toBuilder().setEvacuationsVersion(version()).build() : gossip;
	}

	void recordReport(long heartbeat, long nowMillis) {
		this.freshness.recordSent(heartbeat, nowMillis);
	}

	// Evacuations are replicated in the same log as rules, so the age of the rules of a
	// control instance is also that of its evacuations.
	void recordResponse(Gossip response) {
		if (response.hasRulesAgeMillis() && response.getEvacuationsVersion() <= version()) {
			this.freshness.recordConfirmation(response.getReport(), response.getRulesAgeMillis());
		}
	}

	void recordCurrent(long atMillis) {
		this.freshness.recordCurrent(atMillis);
	}

	long currentAtMillis() {
		return this.freshness.currentAtMillis();
	}

	// To be called after this process was suspended.
	void resetFreshness() {
		this.freshness.reset();
	}

}
