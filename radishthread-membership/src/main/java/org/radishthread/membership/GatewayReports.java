package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;

import org.radishthread.kernel.Backoff;
import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.InstanceRecord;

/**
 * The exchange of a gateway with control instances. The gateway reports its heartbeat,
 * its rule revision and hashes over what it knows; the response carries the revision of
 * the control instances, and the list of live instances if the hashes differ. The cost
 * does not grow with the number of gateways while nothing changes. Not thread-safe.
 */
final class GatewayReports {

	/**
	 * The time between two reports, in milliseconds.
	 */
	static final long REPORT_INTERVAL_MILLIS = 500;

	// The first interval after the start; it grows to the regular one.
	private static final long MINIMUM_REPORT_INTERVAL_MILLIS = 100;

	// Three missed reports to each of the control instances reported to.
	private static final long OUTAGE_MILLIS = 1_500;

	// Enough for a random graph that stays connected while a third of the gateways is
	// lost.
	private static final int NEIGHBOR_COUNT = 4;

	private final ControlSubscription subscription;

	private final InstanceTable instances;

	private final IntSupplier expectedControlCount;

	// The age of the rules of a control instance above which a gateway reports to another
	// one.
	private final long maximumRulesAgeMillis;

	private final Backoff interval = new Backoff(MINIMUM_REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS);

	// The instances that were found to be silent since they were last drained.
	private final List<SilentInstance> silentInstances = new ArrayList<>();

	// The addresses to which connections must be opened anew.
	private final Set<String> suspectAddresses = new LinkedHashSet<>();

	private long startMillis = Long.MIN_VALUE;

	// Whether the last response listed the instances that this gateway counts as live.
	private boolean viewAgreed;

	GatewayReports(InstanceRecord self, InstanceTable instances, IntSupplier expectedControlCount, long applyMillis) {
		this.subscription = new ControlSubscription(self.getName(), self.getZone(),
				new ResponseTimeout(applyMillis, REPORT_INTERVAL_MILLIS));
		this.instances = instances;
		this.expectedControlCount = expectedControlCount;
		this.maximumRulesAgeMillis = applyMillis / 2;
	}

	// Returns the addresses to report to now, or an empty list if no control instance is
	// known.
	List<String> nextTargets(long heartbeat, long nowMillis) {
		if (this.startMillis == Long.MIN_VALUE) {
			this.startMillis = nowMillis;
		}
		List<String> targets = this.subscription.select(this.instances.controlInstances(), nowMillis);
		targets.forEach((address) -> this.subscription.recordReport(address, heartbeat, nowMillis));
		return targets;
	}

	// Returns the control instances that did not respond in time, and avoids them from
	// now on.
	List<SilentInstance> leaveSilentInstances(long nowMillis) {
		List<SilentInstance> leftInstances = this.subscription.leaveSilentInstances(nowMillis);
		for (SilentInstance leftInstance : leftInstances) {
			this.silentInstances.add(leftInstance);
			this.suspectAddresses.add(leftInstance.address());
			suspectConnectionsSilentSince(nowMillis - leftInstance.silentMillis());
		}
		return leftInstances;
	}

	// What made a connection silent may have done so to others that are still open.
	private void suspectConnectionsSilentSince(long sinceMillis) {
		this.instances.controlInstances()
			.stream()
			.map(InstanceRecord::getPeerAddress)
			.filter((address) -> !this.subscription.hasRespondedSince(address, sinceMillis))
			.forEach(this.suspectAddresses::add);
	}

	long nextIntervalMillis() {
		return this.interval.nextMillis();
	}

	Gossip createReport(String address, InstanceRecord self, long heartbeat, long revision, long upstreamDigest,
			long liveSinceMillis) {
		Gossip.Builder report = Gossip.newBuilder()
			.setSender(self.getName())
			.setSenderAddress(self.getPeerAddress())
			.addInstances(NameHash.of(self.getName()))
			.addHeartbeats(heartbeat)
			.addRevisions(revision)
			.setDigest(upstreamDigest);
		if (this.subscription.isPrimary(address)) {
			report.setLiveDigest(this.instances.liveDigest(liveSinceMillis));
		}
		if (!this.viewAgreed || self.getLeaving()) {
			report.addRecords(self);
		}
		return report.build();
	}

	// Whether the control instance that this gateway prefers is in the availability zone.
	boolean isPrimaryIn(String zone) {
		return this.instances.controlInstances()
			.stream()
			.anyMatch((instance) -> this.subscription.isPrimary(instance.getPeerAddress())
					&& instance.getZone().equals(zone));
	}

	static boolean isResponse(Gossip gossip) {
		return gossip.getHeartbeatsCount() == 0 && gossip.getLiveDigest() != 0;
	}

	// Returns whether the response names instances of which there is no current record.
	boolean receive(Gossip response, long liveSinceMillis, long nowMillis) {
		for (int i = 0; i < Math.min(response.getInstancesCount(), response.getRevisionsCount()); i++) {
			this.instances.recordRevision(response.getInstances(i), response.getRevisions(i));
		}
		boolean reachesMajority = reachesMajority(response);
		String address = response.getSenderAddress();
		boolean outdated = isOutdated(response);
		if (response.getReport() != 0) {
			this.subscription.recordResponse(address, response.getReport(), isCurrent(response, nowMillis), nowMillis);
		}
		else {
			this.subscription.recordUpdate(nowMillis);
		}
		boolean authoritative = this.subscription.isPrimary(address) || this.instances.controlInstances().isEmpty();
		if (!authoritative || !reachesMajority) {
			return false;
		}
		if (response.getLiveCount() > 0) {
			if (outdated && this.viewAgreed) {
				return false;
			}
			this.viewAgreed = false;
			return !this.instances.updateLive(new HashSet<>(response.getLiveList()), nowMillis);
		}
		this.viewAgreed = response.getLiveDigest() == this.instances.liveDigest(liveSinceMillis);
		if (this.viewAgreed) {
			this.instances.renewLive(liveSinceMillis, nowMillis);
		}
		return false;
	}

	// Whether the sender knows what the other control instances know. An update does not
	// show that of a sender that is avoided.
	boolean isCurrent(Gossip response, long nowMillis) {
		boolean avoided = response.getReport() == 0
				&& this.subscription.isAvoided(response.getSenderAddress(), nowMillis);
		return reachesMajority(response) && !isOutdated(response) && !avoided;
	}

	// Whether a response that is about to be received is the first one to show that its
	// sender is not current.
	boolean isSenderLeft(Gossip response, long nowMillis) {
		return response.getReport() != 0 && !isCurrent(response, nowMillis)
				&& !this.subscription.isAvoided(response.getSenderAddress(), nowMillis);
	}

	private boolean reachesMajority(Gossip response) {
		return 2 * response.getInstancesCount() > this.expectedControlCount.getAsInt();
	}

	// The heartbeats of other control instances show only after their timeout that the
	// sender is partitioned from them; the age of its rules shows it at once. Updates
	// carry no age, and neither do responses of an instance that just started.
	private boolean isOutdated(Gossip response) {
		if (response.hasRulesAgeMillis()) {
			return response.getRulesAgeMillis() > this.maximumRulesAgeMillis;
		}
		return response.getReport() != 0 && hasConfirmedRules(response);
	}

	private static boolean hasConfirmedRules(Gossip response) {
		int index = response.getInstancesList().indexOf(NameHash.of(response.getSender()));
		return index >= 0 && index < response.getRevisionsCount()
				&& response.getRevisions(index) != InstanceTable.UNCONFIRMED_REVISION;
	}

	/**
	 * Returns whether no control instance has responded for so long that the gateways
	 * exchange heartbeats with each other.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return whether an outage of all control instances is assumed
	 */
	boolean isControlLost(long nowMillis) {
		return this.startMillis != Long.MIN_VALUE && nowMillis - this.startMillis > OUTAGE_MILLIS
				&& this.subscription.isWithoutResponseSince(nowMillis - OUTAGE_MILLIS);
	}

	// The gateways that this one sends heartbeats to while all control instances are
	// lost: its successors in some random orders of all gateways. They are always the
	// same, so that few connections are opened, and each gateway has as many
	// predecessors.
	Set<String> neighborAddresses(InstanceRecord self) {
		List<InstanceRecord> gateways = this.instances.entries()
			.stream()
			.map((entry) -> entry.instance)
			.filter((instance) -> !instance.getControl() && !instance.getLeaving())
			.toList();
		Set<String> addresses = new LinkedHashSet<>();
		for (int order = 0; order < NEIGHBOR_COUNT; order++) {
			addresses.add(successor(gateways, self, order).getPeerAddress());
		}
		addresses.remove(self.getPeerAddress());
		return addresses;
	}

	private static InstanceRecord successor(List<InstanceRecord> gateways, InstanceRecord self, int order) {
		Comparator<InstanceRecord> position = Comparator
			.comparingLong((InstanceRecord instance) -> NameHash.position(instance.getName(), order));
		InstanceRecord next = self;
		InstanceRecord first = self;
		for (InstanceRecord candidate : gateways) {
			first = (position.compare(candidate, first) < 0) ? candidate : first;
			boolean follows = position.compare(candidate, self) > 0;
			if (follows && (next == self || position.compare(candidate, next) < 0)) {
				next = candidate;
			}
		}
		return (next != self) ? next : first;
	}

	void resetAfterFreeze() {
		this.subscription.reset();
		this.viewAgreed = false;
	}

	List<SilentInstance> drainSilentInstances() {
		List<SilentInstance> drainedInstances = List.copyOf(this.silentInstances);
		this.silentInstances.clear();
		return drainedInstances;
	}

	Set<String> drainSuspectAddresses() {
		Set<String> drainedAddresses = Set.copyOf(this.suspectAddresses);
		this.suspectAddresses.clear();
		return drainedAddresses;
	}

}
