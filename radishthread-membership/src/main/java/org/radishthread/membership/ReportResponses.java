package org.radishthread.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.UpstreamRecord;

/**
 * The part of a control instance in the exchange with gateways that report to it: it
 * responds to each report, and sends changed upstreams and revisions to all of them at
 * once. Responses go over a connection that this instance opened, so reports that did not
 * arrive make it suspect that connection too. Not thread-safe.
 */
final class ReportResponses {

	// A gateway that has not reported for three intervals reports to another instance.
	private static final long REPORTING_PERIOD_MILLIS = 3 * GatewayReports.REPORT_INTERVAL_MILLIS;

	// Between two reports that were made this long after each other, another one was due.
	private static final long MISSED_REPORT_MILLIS = 2 * GatewayReports.REPORT_INTERVAL_MILLIS;

	private final InstanceTable instances;

	private final ControlMembers controlMembers;

	// Keyed by the peer address of the gateway.
	private final Map<String, LastReport> lastReports = new LinkedHashMap<>();

	// The peer addresses of gateways to which connections must be opened anew.
	private final Set<String> suspectAddresses = new LinkedHashSet<>();

	private final Map<String, UpstreamRecord> changedUpstreams = new LinkedHashMap<>();

	ReportResponses(InstanceTable instances, ControlMembers controlMembers) {
		this.instances = instances;
		this.controlMembers = controlMembers;
	}

	Gossip.Builder respond(Gossip report, InstanceRecord self, long revision, long upstreamDigest, long liveSinceMillis,
			long nowMillis) {
		recordReport(report, nowMillis);
		Gossip.Builder response = createMessage(self, revision, upstreamDigest, liveSinceMillis);
		if (report.getLiveDigest() != 0 && report.getLiveDigest() != response.getLiveDigest()) {
			response.addAllLive(this.instances.liveVersions(liveSinceMillis));
			if (report.getRecordsCount() > 0) {
				// A gateway that starts knows the seeds only.
				response.addAllRecords(this.instances.controlInstances());
			}
		}
		return response;
	}

	// The heartbeats of two reports tell how long after each other they were made. Those
	// between them that did not arrive were lost, or sent to another instance because
	// this one seemed silent; either way the connection to the gateway may have lost its
	// state as well.
	private void recordReport(Gossip report, long nowMillis) {
		String address = report.getSenderAddress();
		long heartbeat = (report.getHeartbeatsCount() > 0) ? report.getHeartbeats(0) : 0;
		LastReport lastReport = this.lastReports.put(address, new LastReport(heartbeat, nowMillis));
		if (lastReport == null || heartbeat - lastReport.heartbeat >= MISSED_REPORT_MILLIS) {
			this.suspectAddresses.add(address);
		}
	}

	private Gossip.Builder createMessage(InstanceRecord self, long revision, long upstreamDigest,
			long liveSinceMillis) {
		Gossip.Builder message = Gossip.newBuilder()
			.setSender(self.getName())
			.setSenderAddress(self.getPeerAddress())
			.setDigest(upstreamDigest)
			.setControlGroupSize(this.controlMembers.groupSize())
			.setLiveDigest(this.instances.liveDigest(liveSinceMillis));
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean isSelf = entry.instance.getName().equals(self.getName());
			if (entry.instance.getControl() && (isSelf || entry.lastHeartbeatMillis >= liveSinceMillis)) {
				message.addInstances(entry.nameHash);
				message.addRevisions(isSelf ? revision : entry.ruleRevision);
			}
		}
		return message;
	}

	void addChange(UpstreamRecord changedUpstream) {
		this.changedUpstreams.put(changedUpstream.getName(), changedUpstream);
	}

	// Creates the message that tells all gateways what has changed since the last one. A
	// gateway that misses it finds the difference by the digest of a later response.
	Gossip createUpdate(InstanceRecord self, long revision, long upstreamDigest, long liveSinceMillis) {
		Gossip update = createMessage(self, revision, upstreamDigest, liveSinceMillis)
			.addAllUpstreams(this.changedUpstreams.values())
			.build();
		this.changedUpstreams.clear();
		return update;
	}

	// The peer addresses of the gateways that report to this instance.
	List<String> reportingAddresses(long nowMillis) {
		this.lastReports.values().removeIf((lastReport) -> nowMillis - lastReport.millis > REPORTING_PERIOD_MILLIS);
		return new ArrayList<>(this.lastReports.keySet());
	}

	Set<String> drainSuspectAddresses() {
		Set<String> drainedAddresses = Set.copyOf(this.suspectAddresses);
		this.suspectAddresses.clear();
		return drainedAddresses;
	}

	private record LastReport(long heartbeat, long millis) {
	}

}
