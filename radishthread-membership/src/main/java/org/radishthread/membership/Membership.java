package org.radishthread.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.LeaseRenewal;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RulePart;
import org.radishthread.protocol.RuleRequest;
import org.radishthread.protocol.Synchronization;
import org.radishthread.protocol.UpstreamNotice;
import org.radishthread.protocol.UpstreamNoticeReceipt;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Runs the part of one instance in the membership protocol. Control instances gossip with
 * each other: in each round, an instance sends the heartbeats and rule revisions of all
 * live instances to a few peers that it selects at random. A heartbeat is a number that
 * its instance advances in each round, by the milliseconds since the round before.
 * Changed records are piggybacked on a few rounds. A digest, a hash over the versions of
 * all upstreams that have not left, detects records that a peer missed, which an
 * anti-entropy exchange then transfers (Demers and others, "Epidemic Algorithms for
 * Replicated Database Maintenance", 1987).
 * <p>
 * A gateway without the control role does not gossip. It reports to two control
 * instances, which send it what has changed ({@link GatewayReports}). While all control
 * instances are lost, gateways gossip heartbeats with a few fixed neighbors, so that one
 * that is cut off can be told from one whose control instances stopped. In a cluster
 * without control instances, all instances gossip.
 * <p>
 * This class is a state machine without threads, clocks and connections, and it is not
 * thread-safe. Callers pass messages and the monotonic time, and collect the resulting
 * effects by {@link #drain()}.
 */
public final class Membership {

	private static final int MAXIMUM_RECORDS_PER_ROUND = 64;

	// Changes within this time are sent together.
	private static final long URGENT_ROUND_INTERVAL_MILLIS = 50;

	private static final long UPDATE_INTERVAL_MILLIS = 250;

	private static final long FIRST_CONTACT_INTERVAL_MILLIS = 250;

	private static final long FREEZE_THRESHOLD_MILLIS = 2_000;

	private static final long JOIN_SYNCHRONIZATION_INTERVAL_MILLIS = 1_000;

	// Frequent rounds let an instance that starts find the others sooner. The period is
	// short, so that they add little to the byte rate.
	private static final long STARTUP_PERIOD_MILLIS = 5_000;

	private static final long STARTUP_INTERVAL_MILLIS = 100;

	private static final long SYNCHRONIZATION_INTERVAL_MILLIS = 10_000;

	private final MembershipSettings settings;

	private List<String> seeds;

	private final PeerSelector selector;

	private InstanceRecord self;

	private final InstanceTable instances;

	private final ControlMembers controlMembers;

	private final RoundTiming timing;

	private final UpstreamRegistry upstreams;

	private final RuleExchange rules;

	private final RulesFreshness rulesFreshness = new RulesFreshness();

	private final AppliedEvacuations evacuations = new AppliedEvacuations();

	private final ChangeQueue<UpstreamRecord> changedUpstreams = new ChangeQueue<>();

	private final ChangeQueue<InstanceRecord> changedInstances = new ChangeQueue<>();

	private final List<OutgoingMessage> outgoingMessages = new ArrayList<>();

	private final InitialSynchronization synchronization;

	private final GatewayReports reports;

	private final ReportResponses responses;

	private boolean upstreamsChanged;

	private boolean evacuationsChanged;

	private boolean urgentRoundPending;

	private boolean resumedFromFreeze;

	private long heartbeat;

	private long lastHeartbeatMillis = Long.MIN_VALUE;

	private long lastClockReadingMillis = Long.MIN_VALUE;

	private long startMillis = Long.MIN_VALUE;

	private long nextRoundMillis = Long.MIN_VALUE;

	private long nextUrgentRoundMillis = Long.MIN_VALUE;

	private boolean updatePending;

	// The hashes of the names of the gateways that reported a higher rule revision and of
	// which the other control instances were not told yet. They are told at once, because
	// an acknowledgement may wait for it.
	private final Set<Integer> revisedGateways = new HashSet<>();

	private boolean controlContacted;

	private long nextUpdateMillis = Long.MIN_VALUE;

	private long lastSynchronizationRequestMillis = Long.MIN_VALUE / 2;

	private final UpstreamComparison upstreamComparison = new UpstreamComparison();

	public Membership(InstanceRecord self, MembershipSettings settings, PeerSelector selector) {
		this.self = self;
		this.settings = settings;
		this.seeds = settings.seeds();
		this.selector = selector;
		this.heartbeat = self.getIncarnation();
		this.instances = new InstanceTable(self.getName());
		this.controlMembers = new ControlMembers(this.instances);
		this.timing = new RoundTiming(settings, this.instances);
		this.rules = new RuleExchange(self.getControl(), settings.rulesApplyMillis());
		this.upstreams = new UpstreamRegistry(self.getName());
		this.instances.merge(self, 0);
		this.synchronization = new InitialSynchronization(selector);
		this.reports = new GatewayReports(self, this.instances, this::expectedControlCount,
				settings.shortestApplyMillis());
		this.responses = new ReportResponses(this.instances, this.controlMembers);
		this.changedInstances.add(self.getName(), self, this.seeds.size());
	}

	/**
	 * Returns and clears the effects of the calls since the last call of this method.
	 * Pending changes are included as gossip messages, without waiting for the next
	 * round, unless others were sent just before.
	 * @return the effects
	 */
	public MembershipEffects drain() {
		collectUpstreamEffects();
		if (this.urgentRoundPending && this.lastClockReadingMillis >= this.nextUrgentRoundMillis) {
			this.urgentRoundPending = false;
			this.nextUrgentRoundMillis = this.lastClockReadingMillis + URGENT_ROUND_INTERVAL_MILLIS;
			sendUrgentRound(this.lastClockReadingMillis);
		}
		if (this.updatePending && this.lastClockReadingMillis >= this.nextUpdateMillis) {
			this.updatePending = false;
			this.nextUpdateMillis = this.lastClockReadingMillis + UPDATE_INTERVAL_MILLIS;
			sendUpdate(this.lastClockReadingMillis);
		}
		MembershipEffects effects = new MembershipEffects(List.copyOf(this.outgoingMessages),
				this.upstreamsChanged ? this.upstreams.announcedUpstreams() : null,
				this.upstreamsChanged ? this.upstreams.snapshot() : null,
				this.rules.drainChanged() ? this.rules.ruleFile() : null,
				this.evacuationsChanged ? this.evacuations.evacuations() : null, this.upstreams.drainResults(),
				this.resumedFromFreeze, this.reports.drainSilentInstances(), drainSuspectAddresses(),
				this.urgentRoundPending || this.updatePending);
		this.outgoingMessages.clear();
		this.upstreamsChanged = false;
		this.evacuationsChanged = false;
		this.resumedFromFreeze = false;
		return effects;
	}

	private Set<String> drainSuspectAddresses() {
		Set<String> addresses = new LinkedHashSet<>(this.reports.drainSuspectAddresses());
		addresses.addAll(this.responses.drainSuspectAddresses());
		return addresses;
	}

	private void collectUpstreamEffects() {
		this.outgoingMessages.addAll(this.upstreams.drainMessages());
		for (UpstreamChange change : this.upstreams.drainChanges()) {
			this.upstreamsChanged = true;
			if (gossips()) {
				this.changedUpstreams.add(change.upstream().getName(), change.upstream(), gossipingInstanceCount());
				if (!change.leaseOnly()) {
					this.responses.addChange(change.upstream());
					this.updatePending = true;
				}
				// Control instances replicate announcements to each other.
				this.urgentRoundPending |= !this.instances.hasControlInstance();
			}
		}
	}

	// Whether this instance takes part in gossip while all goes well.
	private boolean gossips() {
		return this.self.getControl() || !(this.controlContacted || this.instances.hasControlInstance());
	}

	private int gossipingInstanceCount() {
		int controlCount = this.instances.controlInstances().size();
		return (controlCount > 0) ? controlCount : this.instances.entries().size();
	}

	private void sendUrgentRound(long nowMillis) {
		// Peers ignore a revision that does not come with a higher heartbeat.
		advanceHeartbeat(nowMillis);
		this.instances.recordHeartbeat(NameHash.of(this.self.getName()), this.heartbeat, this.rules.appliedRevision(),
				nowMillis);
		if (!gossips()) {
			sendReports(nowMillis);
			return;
		}
		int fanout = this.revisedGateways.isEmpty() ? this.settings.urgentFanout() : this.instances.entries().size();
		sendGossipRound(fanout, !this.instances.hasControlInstance());
		this.revisedGateways.clear();
	}

	// A heartbeat advances with the clock, so that its receivers know when it was made.
	private void advanceHeartbeat(long nowMillis) {
		boolean first = this.lastHeartbeatMillis == Long.MIN_VALUE;
		this.heartbeat += first ? 1 : Math.max(1, nowMillis - this.lastHeartbeatMillis);
		this.lastHeartbeatMillis = nowMillis;
	}

	private void sendUpdate(long nowMillis) {
		List<String> gateways = this.responses.reportingAddresses(nowMillis);
		if (!gateways.isEmpty()) {
			Gossip update = this.responses.createUpdate(this.self, this.rules.reportedRevision(),
					this.upstreams.stateDigest(), nowMillis - this.timing.failureTimeoutMillis());
			gateways.forEach((address) -> sendGossip(address, update));
		}
	}

	private void sendGossip(String address, Gossip gossip) {
		send(address, Envelope.newBuilder().setGossip(this.evacuations.describe(gossip)));
	}

	private void send(String address, Envelope.Builder envelope) {
		this.outgoingMessages.add(new OutgoingMessage(address, envelope.build()));
	}

	/**
	 * Sets the seeds: the instances to contact while no majority of instances is live.
	 * Their number is a lower bound of {@link #expectedInstanceCount()}.
	 * @param newSeeds the peer addresses of the instances
	 */
	public void updateSeeds(List<String> newSeeds) {
		this.seeds = List.copyOf(newSeeds);
	}

	/**
	 * Performs the actions that are due, such as expiring leases and sending gossip. To
	 * be called several times per round.
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void tick(long nowMillis) {
		detectFreeze(nowMillis);
		expireLeases(nowMillis);
		removeLostInstances(nowMillis);
		confirmRulesByMajority(nowMillis);
		this.upstreams.replicate(recipients(nowMillis), nowMillis);
		collectUpstreamEffects();
		requestUpstreams(nowMillis);
		requestOverdueRules(nowMillis);
		leaveSilentInstances(nowMillis);
		if (nowMillis >= this.nextRoundMillis) {
			advanceHeartbeat(nowMillis);
			this.instances.recordHeartbeat(NameHash.of(this.self.getName()), this.heartbeat,
					this.rules.appliedRevision(), nowMillis);
			if (!gossips()) {
				sendReports(nowMillis);
				this.nextRoundMillis = nowMillis + this.reports.nextIntervalMillis();
				return;
			}
			if (isStartingUp(nowMillis)) {
				// Peers that also just started may have missed the previous rounds.
				this.changedInstances.add(this.self.getName(), this.self, 1);
			}
			sendGossipRound(this.settings.fanout(), true);
			this.nextRoundMillis = nowMillis + nextRoundIntervalMillis(nowMillis);
		}
	}

	private void leaveSilentInstances(long nowMillis) {
		if (gossips()) {
			return;
		}
		for (SilentInstance silentInstance : this.reports.leaveSilentInstances(nowMillis)) {
			this.rules.releaseRequest(silentInstance.address());
			reportToNextInstances(nowMillis);
		}
	}

	private void reportToNextInstances(long nowMillis) {
		this.nextRoundMillis = nowMillis;
		this.upstreamComparison.recordMissedUpdates();
	}

	private long nextRoundIntervalMillis(long nowMillis) {
		// The seeds are sent the first messages of all instances that start.
		boolean knowsSeedsOnly = !this.self.getControl() && this.instances.entries().size() == 1;
		if (knowsSeedsOnly) {
			return Math.min(FIRST_CONTACT_INTERVAL_MILLIS, this.reports.nextIntervalMillis());
		}
		return isStartingUp(nowMillis) ? STARTUP_INTERVAL_MILLIS : this.timing.roundIntervalMillis();
	}

	private void sendReports(long nowMillis) {
		this.rulesFreshness.recordReport(this.heartbeat, nowMillis);
		this.evacuations.recordReport(this.heartbeat, nowMillis);
		Set<String> targets = new LinkedHashSet<>(this.reports.nextTargets(this.heartbeat, nowMillis));
		if (this.reports.isControlLost(nowMillis)) {
			targets.addAll(this.selector.select(this.seeds, 1));
			Gossip gossip = createGossip(true);
			this.reports.neighborAddresses(this.self).forEach((address) -> sendGossip(address, gossip));
		}
		for (String address : targets) {
			Gossip report = this.reports.createReport(address, this.self, this.heartbeat, this.rules.reportedRevision(),
					this.upstreams.stateDigest(), nowMillis - this.timing.failureTimeoutMillis());
			sendGossip(address, report);
		}
	}

	private boolean isStartingUp(long nowMillis) {
		boolean hasRulesAndUpstreams = this.rules.isConfirmed() && this.synchronization.isCompleted();
		return !hasRulesAndUpstreams && nowMillis - this.startMillis < STARTUP_PERIOD_MILLIS;
	}

	/**
	 * Detects that this process was suspended since the last call. All other instances
	 * then count as lost until their next heartbeat, all leases restart, and the rules
	 * count as unconfirmed.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return whether a message that arrives now may be from before the suspension and
	 * must be dropped
	 */
	public boolean detectFreeze(long nowMillis) {
		boolean frozen = this.lastClockReadingMillis != Long.MIN_VALUE
				&& nowMillis - this.lastClockReadingMillis > FREEZE_THRESHOLD_MILLIS;
		if (this.lastClockReadingMillis == Long.MIN_VALUE) {
			this.startMillis = nowMillis;
		}
		this.lastClockReadingMillis = nowMillis;
		if (frozen) {
			this.instances.markAllLost();
			this.reports.resetAfterFreeze();
			this.rulesFreshness.reset();
			this.evacuations.resetFreshness();
			this.upstreamComparison.recordMissedUpdates();
			this.upstreams.renewAll(nowMillis);
			this.rules.resetAfterFreeze();
			this.resumedFromFreeze = true;
		}
		return frozen;
	}

	private void expireLeases(long nowMillis) {
		long sinceMillis = nowMillis - this.timing.failureTimeoutMillis();
		// While no control instance is live, upstreams cannot renew their leases, so the
		// leases of lost holders must not expire.
		boolean controlInstanceLive = this.instances.entries()
			.stream()
			.anyMatch((entry) -> entry.instance.getControl()
					&& this.instances.isLive(entry.instance.getName(), sinceMillis));
		boolean expired = this.upstreams.expireLeases(nowMillis,
				(holder) -> !controlInstanceLive || this.instances.isLive(holder, sinceMillis));
		this.urgentRoundPending |= expired && gossips();
	}

	private void removeLostInstances(long nowMillis) {
		if (hasMajority(nowMillis)) {
			this.instances.removeSilentSince(nowMillis - this.settings.removalTimeoutMillis());
			this.instances.removeLeavingSilentSince(nowMillis - this.timing.failureTimeoutMillis() * 2);
		}
	}

	// Without heartbeats, the messages carry those of this instance only.
	private void sendGossipRound(int fanout, boolean withHeartbeats) {
		Set<String> candidates = new LinkedHashSet<>(this.instances.hasControlInstance()
				? this.instances.otherControlPeerAddresses() : this.instances.otherPeerAddresses());
		if (!hasMajority(this.lastClockReadingMillis)) {
			candidates.addAll(this.seeds);
		}
		candidates.remove(this.self.getPeerAddress());
		Set<String> targets = new LinkedHashSet<>(this.selector.select(List.copyOf(candidates), fanout));
		if (withHeartbeats) {
			targets.addAll(unknownSeeds());
		}
		if (targets.isEmpty()) {
			return;
		}
		Gossip gossip = createGossip(withHeartbeats);
		targets.forEach((address) -> sendGossip(address, gossip));
	}

	// Instances that started together may know only each other. Their majority is one of
	// the instances they know, so it does not show that they know all.
	private List<String> unknownSeeds() {
		return this.seeds.stream()
			.filter((seed) -> !seed.equals(this.self.getPeerAddress()) && !this.instances.hasPeerAddress(seed))
			.toList();
	}

	private Gossip createGossip(boolean withHeartbeats) {
		Gossip.Builder gossip = Gossip.newBuilder()
			.setSender(this.self.getName())
			.setSenderAddress(this.self.getPeerAddress());
		long sinceMillis = this.lastClockReadingMillis - this.timing.failureTimeoutMillis();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean isSelf = entry.instance.getName().equals(this.self.getName());
			boolean included = this.revisedGateways.contains(entry.nameHash)
					|| (withHeartbeats && entry.lastHeartbeatMillis >= sinceMillis);
			if (isSelf || included) {
				gossip.addInstances(entry.nameHash);
				gossip.addHeartbeats(isSelf ? this.heartbeat : entry.heartbeat);
				gossip.addRevisions(isSelf ? this.rules.reportedRevision() : entry.ruleRevision);
			}
		}
		gossip.addAllUpstreams(this.changedUpstreams.pollRound(MAXIMUM_RECORDS_PER_ROUND));
		gossip.addAllRecords(this.changedInstances.pollRound(MAXIMUM_RECORDS_PER_ROUND));
		return gossip.setDigest(this.upstreams.digest()).build();
	}

	/**
	 * Processes a gossip message.
	 * @param gossip the message
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(Gossip gossip, long nowMillis) {
		gossip.getRecordsList().forEach((instance) -> mergeInstance(instance, nowMillis));
		this.evacuations.respond(gossip)
			.ifPresent((response) -> send(gossip.getSenderAddress(), Envelope.newBuilder().setEvacuations(response)));
		if (GatewayReports.isResponse(gossip)) {
			receiveResponse(gossip, nowMillis);
			return;
		}
		gossip.getUpstreamsList().forEach((upstream) -> this.upstreams.merge(upstream, nowMillis));
		InstanceTable.Entry formerSender = this.instances.find(gossip.getSender());
		long formerRevision = (formerSender != null) ? formerSender.ruleRevision : InstanceTable.UNCONFIRMED_REVISION;
		boolean hasUnknownInstances = false;
		int count = Math.min(gossip.getInstancesCount(),
				Math.min(gossip.getHeartbeatsCount(), gossip.getRevisionsCount()));
		for (int i = 0; i < count; i++) {
			hasUnknownInstances |= !recordHeartbeat(gossip.getInstances(i), gossip.getHeartbeats(i),
					gossip.getRevisions(i), nowMillis);
		}
		InstanceTable.Entry sender = this.instances.find(gossip.getSender());
		String address = gossip.getSenderAddress();
		requestRulesIfBehind(sender, nowMillis);
		int senderIndex = (sender != null) ? gossip.getInstancesList().indexOf(NameHash.of(gossip.getSender())) : -1;
		if (senderIndex >= 0 && senderIndex < count && gossip.getHeartbeats(senderIndex) < sender.heartbeat) {
			sendFormerState(address, sender);
		}
		if (this.self.getControl() && isGateway(gossip, sender)) {
			if (sender != null && sender.ruleRevision > formerRevision) {
				this.revisedGateways.add(NameHash.of(gossip.getSender()));
				this.urgentRoundPending = true;
			}
			respondToReport(gossip, nowMillis);
			return;
		}
		// Digests differ while changes propagate.
		boolean noChangesPending = this.changedUpstreams.isEmpty() && gossip.getUpstreamsCount() == 0;
		if (sender == null || hasUnknownInstances) {
			requestSynchronization(address, nowMillis, JOIN_SYNCHRONIZATION_INTERVAL_MILLIS);
		}
		else if (noChangesPending && gossip.getDigest() != this.upstreams.digest()) {
			requestSynchronization(address, nowMillis, SYNCHRONIZATION_INTERVAL_MILLIS);
		}
	}

	private void respondToReport(Gossip report, long nowMillis) {
		Gossip.Builder response = this.responses.respond(report, this.self, this.rules.reportedRevision(),
				this.upstreams.stateDigest(), nowMillis - this.timing.failureTimeoutMillis(), nowMillis);
		if (report.getHeartbeatsCount() > 0) {
			response.setReport(report.getHeartbeats(0));
		}
		if (this.rules.isConfirmed()) {
			this.rulesFreshness.describe(response, nowMillis);
		}
		sendGossip(report.getSenderAddress(), response.build());
	}

	// Tells an instance what is known of its former incarnation, which started while the
	// wall clock was ahead: it must exceed that, or its heartbeats would be ignored.
	private void sendFormerState(String address, InstanceTable.Entry former) {
		sendGossip(address,
				Gossip.newBuilder()
					.setSender(this.self.getName())
					.setSenderAddress(this.self.getPeerAddress())
					.addInstances(former.nameHash)
					.addHeartbeats(former.heartbeat)
					.addRevisions(InstanceTable.UNCONFIRMED_REVISION)
					.addRecords(former.instance)
					.setDigest(this.upstreams.digest())
					.build());
	}

	private static boolean isGateway(Gossip gossip, InstanceTable.@Nullable Entry sender) {
		return (sender != null) ? !sender.instance.getControl() : gossip.getLiveDigest() != 0;
	}

	private void receiveResponse(Gossip response, long nowMillis) {
		this.controlContacted = true;
		this.controlMembers.recordReportedGroupSize(response.getControlGroupSize());
		response.getUpstreamsList().forEach((upstream) -> this.upstreams.merge(upstream, nowMillis));
		String address = response.getSenderAddress();
		boolean current = this.reports.isCurrent(response, nowMillis);
		// An instance that starts requests all records in any case.
		if (this.synchronization.isCompleted() && this.reports.isSenderLeft(response, nowMillis)) {
			reportToNextInstances(nowMillis);
		}
		if (this.reports.receive(response, nowMillis - this.timing.failureTimeoutMillis(), nowMillis)
				|| this.instances.find(response.getSender()) == null) {
			requestInstances(address, nowMillis);
		}
		InstanceTable.Entry sender = this.instances.find(response.getSender());
		requestRulesIfBehind(sender, nowMillis);
		if (sender != null && sender.ruleRevision <= this.rules.appliedRevision()) {
			this.rulesFreshness.recordResponse(response);
		}
		this.evacuations.recordResponse(response);
		boolean equal = response.getDigest() == this.upstreams.stateDigest();
		if (this.upstreamComparison.recordDigest(equal, current, nowMillis)) {
			send(address, Envelope.newBuilder().setSynchronization(createSynchronization()));
		}
	}

	private void requestRulesIfBehind(InstanceTable.@Nullable Entry peer, long nowMillis) {
		if (peer != null) {
			String address = peer.instance.getPeerAddress();
			this.rules.createRequest(address, peer.ruleRevision, isNearerRuleSourceExpected(peer.instance), nowMillis)
				.ifPresent((request) -> send(address, Envelope.newBuilder().setRuleRequest(request)));
		}
	}

	// A control instance receives accepted rules by the log of the control group. A
	// gateway prefers the control instance in its own availability zone that it reports
	// to.
	private boolean isNearerRuleSourceExpected(InstanceRecord peer) {
		return this.self.getControl()
				|| (!peer.getZone().equals(this.self.getZone()) && this.reports.isPrimaryIn(this.self.getZone()));
	}

	private void requestOverdueRules(long nowMillis) {
		String address = this.rules.overdueAddress(nowMillis);
		if (!address.isEmpty()) {
			this.rules.createOverdueRequest(nowMillis)
				.ifPresent((request) -> send(address, Envelope.newBuilder().setRuleRequest(request)));
		}
	}

	private void requestInstances(String address, long nowMillis) {
		if (nowMillis - this.lastSynchronizationRequestMillis < JOIN_SYNCHRONIZATION_INTERVAL_MILLIS) {
			return;
		}
		this.lastSynchronizationRequestMillis = nowMillis;
		send(address,
				Envelope.newBuilder()
					.setSynchronization(Synchronization.newBuilder()
						.setSender(this.self.getName())
						.setSenderAddress(this.self.getPeerAddress())
						.setInstancesOnly(true)
						.addAllKnownInstances(this.instances.versions())));
	}

	private boolean recordHeartbeat(int nameHash, long receivedHeartbeat, long ruleRevision, long nowMillis) {
		if (nameHash == NameHash.of(this.self.getName())) {
			// A former incarnation of this instance may have reached a higher heartbeat.
			this.heartbeat = Math.max(this.heartbeat, receivedHeartbeat);
			return true;
		}
		return this.instances.recordHeartbeat(nameHash, receivedHeartbeat, ruleRevision, nowMillis);
	}

	private void mergeInstance(InstanceRecord receivedRecord, long nowMillis) {
		if (receivedRecord.getName().equals(this.self.getName())) {
			supersedeFormerIncarnation(receivedRecord);
			return;
		}
		if (this.instances.merge(receivedRecord, nowMillis) && gossips()) {
			this.changedInstances.add(receivedRecord.getName(), receivedRecord, gossipingInstanceCount());
			// Records of gateways that start can wait for the next round.
			this.urgentRoundPending |= receivedRecord.getControl() || receivedRecord.getLeaving()
					|| !this.instances.hasControlInstance();
		}
	}

	// A former incarnation has a higher number if it started while the wall clock was
	// ahead. Peers would ignore this incarnation, so it takes the next higher number.
	private void supersedeFormerIncarnation(InstanceRecord formerRecord) {
		if (formerRecord.getIncarnation() <= this.self.getIncarnation()) {
			return;
		}
		this.self = this.self.toBuilder().setIncarnation(formerRecord.getIncarnation() + 1).build();
		this.instances.merge(this.self, 0);
		this.changedInstances.add(this.self.getName(), this.self, this.instances.entries().size());
		this.urgentRoundPending = true;
	}

	private void requestUpstreams(long nowMillis) {
		if (this.synchronization.isCompleted()) {
			return;
		}
		this.synchronization.nextTargets(synchronizationSources(), nowMillis)
			.forEach((address) -> send(address, Envelope.newBuilder().setSynchronization(createSynchronization())));
	}

	// Control instances are preferred because they store upstreams across restarts;
	// another instance may also have just started.
	private InitialSynchronization.Sources synchronizationSources() {
		boolean controlCounts = this.instances.hasControlInstance();
		boolean selfCounts = this.self.getControl() || !controlCounts;
		int expectedCount = controlCounts ? this.controlMembers.expectedCount(this.seeds) : expectedInstanceCount();
		List<InstanceRecord> others = this.instances.otherInstances((instance) -> true);
		List<InstanceRecord> otherControlInstances = this.instances.otherInstances(InstanceRecord::getControl);
		return new InitialSynchronization.Sources(otherControlInstances.isEmpty() ? others : otherControlInstances,
				controlCounts ? otherControlInstances : others, expectedCount / 2 + 1 - (selfCounts ? 1 : 0),
				selfCounts);
	}

	private void requestSynchronization(String address, long nowMillis, long intervalMillis) {
		if (nowMillis - this.lastSynchronizationRequestMillis < intervalMillis) {
			return;
		}
		this.lastSynchronizationRequestMillis = nowMillis;
		send(address, Envelope.newBuilder().setSynchronization(createSynchronization()));
	}

	private Synchronization.Builder createSynchronization() {
		return Synchronization.newBuilder()
			.setSender(this.self.getName())
			.setSenderAddress(this.self.getPeerAddress())
			.addAllKnownInstances(this.instances.versions())
			.addAllKnown(this.upstreams.versions());
	}

	/**
	 * Processes a synchronization message. A request carries the versions of the sender's
	 * records; the response to it carries the records that the sender may lack.
	 * @param synchronization the message
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(Synchronization synchronization, long nowMillis) {
		synchronization.getRecordsList().forEach((instance) -> mergeInstance(instance, nowMillis));
		synchronization.getUpstreamsList().forEach((upstream) -> this.upstreams.merge(upstream, nowMillis));
		if (synchronization.getAnswer()) {
			recordResponse(synchronization);
			return;
		}
		Synchronization.Builder response = Synchronization.newBuilder()
			.setSender(this.self.getName())
			.setSenderAddress(this.self.getPeerAddress())
			.setAnswer(true)
			.setInstancesOnly(synchronization.getInstancesOnly())
			.addAllRecords(this.instances.findMissing(synchronization.getKnownInstancesList()));
		if (!synchronization.getInstancesOnly()) {
			response.addAllUpstreams(this.upstreams.findMissing(synchronization.getKnownList()))
				.setPartial(!this.synchronization.isCompleted());
		}
		send(synchronization.getSenderAddress(), Envelope.newBuilder().setSynchronization(response));
	}

	private void recordResponse(Synchronization response) {
		if (response.getPartial()) {
			this.synchronization.recordPartialResponse(response.getSender(), synchronizationSources());
		}
		else if (!response.getInstancesOnly()) {
			this.synchronization.recordResponse();
		}
	}

	/**
	 * Applies an announcement of an upstream.
	 * @param announcement the announcement
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the outcome
	 */
	public AnnouncementOutcome announce(Announcement announcement, long nowMillis) {
		return this.upstreams.announce(announcement, (holder) -> findLiveAddress(holder, nowMillis),
				recipients(nowMillis), nowMillis);
	}

	private @Nullable String findLiveAddress(String instanceName, long nowMillis) {
		InstanceTable.Entry entry = this.instances.find(instanceName);
		boolean live = entry != null
				&& this.instances.isLive(instanceName, nowMillis - this.timing.failureTimeoutMillis());
		return live ? entry.instance.getPeerAddress() : null;
	}

	/**
	 * Marks an upstream as left at its own request.
	 * @param name the name of the upstream
	 * @param incarnation the incarnation that leaves, or zero if the upstream did not
	 * send it
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the outcome, or empty if there is no record of the upstream
	 */
	public Optional<AnnouncementOutcome> withdraw(String name, long incarnation, long nowMillis) {
		return this.upstreams.withdraw(name, incarnation, recipients(nowMillis), nowMillis);
	}

	private AnnouncementReplication.Recipients recipients(long nowMillis) {
		List<AnnouncementReplication.Recipient> recipients = new ArrayList<>();
		boolean hasControlInstance = this.instances.hasControlInstance();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			InstanceRecord instance = entry.instance;
			boolean live = entry.lastHeartbeatMillis >= nowMillis - this.timing.failureTimeoutMillis();
			// Gateways receive changes from the control instances that they report to.
			boolean stores = !hasControlInstance || instance.getControl();
			if (live && stores && !instance.getName().equals(this.self.getName())) {
				recipients.add(new AnnouncementReplication.Recipient(instance.getName(), instance.getPeerAddress(),
						!instance.getLeaving()));
			}
		}
		return new AnnouncementReplication.Recipients(recipients, this.controlMembers.quorum(this.seeds),
				this.self.getName());
	}

	/**
	 * Records the members of the control group that have a vote, as this instance has
	 * them on disk. A change that must outlast the loss of instances is confirmed by a
	 * majority of them.
	 * @param instanceNames the names of the instances, or an empty set if this instance
	 * has no replica of a group
	 */
	public void recordControlGroup(Set<String> instanceNames) {
		this.controlMembers.updateGroup(instanceNames);
	}

	/**
	 * Merges an upstream record that another instance replicates, and confirms it once it
	 * is stored.
	 * @param notice the message
	 * @param senderAddress the peer address of the instance
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(UpstreamNotice notice, String senderAddress, long nowMillis) {
		Envelope receipt = Envelope.newBuilder()
			.setUpstreamNoticeReceipt(UpstreamNoticeReceipt.newBuilder().setId(notice.getId()))
			.build();
		this.upstreams.mergeReplicated(notice.getUpstream(), new OutgoingMessage(senderAddress, receipt), nowMillis);
	}

	/**
	 * States that this instance stores the upstream records of
	 * {@link MembershipEffects#upstreamsToStore()} on disk. A record that an upstream
	 * accepts no requests is then confirmed only after {@link #recordUpstreamsStored}.
	 */
	public void useUpstreamStore() {
		this.upstreams.useStore();
	}

	/**
	 * Records that upstream records are on disk.
	 * @param change the number of the latest change that the records contain
	 */
	public void recordUpstreamsStored(long change) {
		this.upstreams.recordStored(change);
	}

	/**
	 * Processes the confirmation that another instance stores an upstream record.
	 * @param receipt the message
	 * @param senderName the name of the instance
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(UpstreamNoticeReceipt receipt, String senderName, long nowMillis) {
		this.upstreams.recordConfirmation(receipt.getId(), senderName, recipients(nowMillis), nowMillis);
	}

	/**
	 * Processes the renewal of a lease that another instance forwarded to this one.
	 * @param renewal the message
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(LeaseRenewal renewal, long nowMillis) {
		this.upstreams.renew(renewal, nowMillis);
	}

	/**
	 * Restores upstream records that were stored before this instance stopped.
	 * @param records the records
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void restore(List<UpstreamRecord> records, long nowMillis) {
		records.forEach((upstream) -> this.upstreams.merge(upstream, nowMillis));
	}

	/**
	 * Returns the upstreams that have not left.
	 * @return their records
	 */
	public List<UpstreamRecord> upstreams() {
		return this.upstreams.activeUpstreams();
	}

	/**
	 * Takes committed rules to be applied, unless their revision is not higher than that
	 * of the rules held.
	 * @param offeredRules the rules
	 */
	public void offerRules(RuleFile offeredRules) {
		this.rules.offer(offeredRules, this.lastClockReadingMillis);
	}

	/**
	 * Processes rules that a peer sent, plain or encoded. They are to be applied unless
	 * their revision is not higher than that of the rules held.
	 * @param receivedRules the rules
	 */
	public void receive(RuleFile receivedRules) {
		this.rules.receive(receivedRules, this.lastClockReadingMillis);
	}

	/**
	 * Records that requests are routed by the rules of {@link MembershipEffects#rules()}.
	 * Peers are told a revision only after this.
	 * @param revision the revision of the rules
	 */
	public void recordRulesApplied(long revision) {
		if (!this.rules.recordApplied(revision)) {
			return;
		}
		this.urgentRoundPending = true;
		this.updatePending = gossips();
		this.nextUpdateMillis = this.lastClockReadingMillis;
	}

	/**
	 * Takes rules read from a quorum of the control group to be applied; the quorum
	 * confirms that they are in force. If only their revision was read, it is confirmed
	 * once the rules arrive.
	 * @param confirmedRules the rules, or their revision
	 */
	public void confirmRules(RuleFile confirmedRules) {
		if (confirmedRules.getPart() == RulePart.RULE_PART_REVISION) {
			this.rules.confirmRevision(confirmedRules.getRevision(), this.lastClockReadingMillis);
			return;
		}
		offerRules(confirmedRules);
		this.rules.confirm();
	}

	/**
	 * Returns how the applied rules reached this instance.
	 * @return the latest transfer of rules
	 */
	public RuleTransfer lastRuleTransfer() {
		return this.rules.lastTransfer();
	}

	/**
	 * Applies committed evacuations of availability zones, unless their version is not
	 * higher than that of the applied ones. A control instance sends them to the other
	 * control instances and to the gateways that report to it.
	 * @param offeredEvacuations the evacuations
	 */
	public void offerEvacuations(Evacuations offeredEvacuations) {
		if (!this.evacuations.applyIfNewer(offeredEvacuations)) {
			return;
		}
		this.evacuationsChanged = true;
		if (this.self.getControl()) {
			Set<String> recipients = new LinkedHashSet<>(this.instances.otherControlPeerAddresses());
			recipients.addAll(this.responses.reportingAddresses(this.lastClockReadingMillis));
			recipients.forEach(
					(address) -> send(address, Envelope.newBuilder().setEvacuations(this.evacuations.evacuations())));
		}
	}

	/**
	 * Processes the evacuations of a peer, and sends it those of this instance if they
	 * are newer.
	 * @param receivedEvacuations the evacuations
	 * @param senderAddress the peer address of the instance
	 */
	public void receive(Evacuations receivedEvacuations, String senderAddress) {
		offerEvacuations(receivedEvacuations);
		if (receivedEvacuations.getVersion() < this.evacuations.version()) {
			send(senderAddress, Envelope.newBuilder().setEvacuations(this.evacuations.evacuations()));
		}
	}

	public Evacuations appliedEvacuations() {
		return this.evacuations.evacuations();
	}

	/**
	 * Returns the latest time as of which the applied evacuations are known to be the
	 * newest.
	 * @return the monotonic time, in milliseconds, very low if it is not known
	 */
	public long evacuationsCurrentAtMillis() {
		return this.evacuations.currentAtMillis();
	}

	/**
	 * Records that this control instance has applied every revision and evacuation that
	 * the control group had accepted at a time. To be called after {@link #offerRules}
	 * and {@link #offerEvacuations} with them.
	 * @param atMillis the monotonic time, in milliseconds
	 */
	public void recordRulesCurrent(long atMillis) {
		if (this.rules.appliedRevision() == this.rules.revision()) {
			this.rulesFreshness.recordCurrent(atMillis);
		}
		this.evacuations.recordCurrent(atMillis);
	}

	/**
	 * Returns the latest time as of which the applied rules are known to be the newest
	 * accepted ones.
	 * @return the monotonic time, in milliseconds, very low if it is not known
	 */
	public long rulesCurrentAtMillis() {
		return this.rulesFreshness.currentAtMillis();
	}

	/**
	 * Returns whether a higher revision than the applied one is held or known of.
	 * @return whether newer rules are known of
	 */
	public boolean isBehind() {
		return this.rules.isBehindLongerThan(0, this.lastClockReadingMillis);
	}

	/**
	 * Sends the applied rules to a peer that has an older revision.
	 * @param request the request
	 * @param senderName the name of the instance that sent the request
	 */
	public void receive(RuleRequest request, String senderName) {
		InstanceTable.Entry entry = this.instances.find(senderName);
		if (entry != null) {
			this.rules.respond(request)
				.ifPresent((file) -> send(entry.instance.getPeerAddress(), Envelope.newBuilder().setRuleFile(file)));
		}
	}

	public RuleFile appliedRules() {
		return this.rules.appliedFile();
	}

	/**
	 * Returns whether the applied rules were confirmed since this process started or
	 * resumed from a freeze.
	 * @return whether the applied rules are confirmed to be in force
	 */
	public boolean hasConfirmedRules() {
		return this.rules.isConfirmed();
	}

	/**
	 * Returns whether this instance has received the records of upstreams and instances
	 * that the others have, or is the only instance.
	 * @return whether the records were synchronized since this instance started
	 */
	public boolean isSynchronized() {
		boolean alone = this.instances.entries().size() == 1 && expectedInstanceCount() == 1;
		return alone || this.synchronization.isCompleted();
	}

	// An accepted revision is in force at a majority, and two majorities overlap. If
	// all instances were stopped, none has confirmed rules, and only the control group
	// can confirm them.
	private void confirmRulesByMajority(long nowMillis) {
		long sinceMillis = nowMillis - this.timing.isolationTimeoutMillis();
		if (!this.rules.isConfirmed() && !this.evacuations.isBehind()
				&& 2 * this.instances.countOthersWithConfirmedRules(sinceMillis) > expectedInstanceCount()
				&& this.rules.revision() >= this.instances.highestRuleRevision(sinceMillis)) {
			this.rules.confirm();
		}
	}

	/**
	 * Counts the responsive instances that have applied a revision or a higher one.
	 * @param revision the revision
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the number of instances, with this one
	 */
	public int countInstancesAtRevision(long revision, long nowMillis) {
		long sinceMillis = nowMillis - this.timing.responsivePeriodMillis();
		int count = 0;
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean isSelf = entry.instance.getName().equals(this.self.getName());
			long appliedRevision = isSelf ? this.rules.appliedRevision() : entry.ruleRevision;
			if (this.instances.isResponsive(entry, sinceMillis) && appliedRevision >= revision) {
				count++;
			}
		}
		return count;
	}

	/**
	 * Returns the number of instances that are not leaving and that made a heartbeat just
	 * now.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the number of instances, with this one
	 */
	public int responsiveInstanceCount(long nowMillis) {
		return this.instances.responsiveCount(nowMillis - this.timing.responsivePeriodMillis());
	}

	/**
	 * Returns the number of instances that are expected in the cluster: those that are
	 * not leaving, lost ones included, but at least the number of seeds and, until this
	 * instance is synchronized, that of control instances.
	 * @return the number of instances, with this one
	 */
	public int expectedInstanceCount() {
		int memberCount = this.instances.expectedCount();
		boolean othersUnknown = memberCount <= 1
				&& this.seeds.stream().anyMatch((seed) -> !seed.equals(this.self.getPeerAddress()));
		int floor = this.synchronization.isCompleted() ? this.seeds.size()
				: Math.max(this.seeds.size(), this.controlMembers.expectedCount(this.seeds));
		return Math.max(memberCount + (othersUnknown ? 1 : 0), floor);
	}

	// An instance that has just started has heard of few control instances.
	private int expectedControlCount() {
		int knownCount = this.instances.controlInstances().size();
		return this.synchronization.isCompleted() ? knownCount
				: Math.max(knownCount, this.controlMembers.expectedCount(this.seeds));
	}

	/**
	 * Returns the number of instances that are not leaving and of which a heartbeat
	 * arrived within the isolation timeout.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the number of instances, with this one
	 */
	public int liveInstanceCount(long nowMillis) {
		return this.instances.liveCount(nowMillis - this.timing.isolationTimeoutMillis());
	}

	private boolean hasMajority(long nowMillis) {
		return 2 * liveInstanceCount(nowMillis) > expectedInstanceCount();
	}

	/**
	 * Returns whether this instance may accept new requests.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the state
	 */
	public ServingState servingState(long nowMillis) {
		if (this.self.getLeaving()) {
			return ServingState.STOPPING;
		}
		boolean frozen = this.lastClockReadingMillis != Long.MIN_VALUE
				&& nowMillis - this.lastClockReadingMillis > FREEZE_THRESHOLD_MILLIS;
		// The other half of the time passes until this instance learns of the revision.
		long maximumLagMillis = this.settings.rulesApplyMillis() / 2;
		if (frozen || !hasMajority(nowMillis) || this.rules.isBehindLongerThan(maximumLagMillis, nowMillis)) {
			return ServingState.ISOLATED;
		}
		// An instance must not route requests before it knows which upstreams have left.
		return (this.rules.isConfirmed() && isSynchronized()) ? ServingState.READY : ServingState.STARTING;
	}

	/**
	 * Announces to the peers that this instance accepts no new requests and leaves.
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void leave(long nowMillis) {
		this.self = this.self.toBuilder().setLeaving(true).build();
		this.instances.merge(this.self, nowMillis);
		this.changedInstances.add(this.self.getName(), this.self, this.instances.entries().size());
		this.urgentRoundPending = true;
	}

	/**
	 * Returns the state of all known instances, this one included.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return one view for each instance
	 */
	public List<InstanceView> instances(long nowMillis) {
		List<InstanceView> views = new ArrayList<>();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean isSelf = entry.instance.getName().equals(this.self.getName());
			boolean live = isSelf || entry.lastHeartbeatMillis >= nowMillis - this.timing.failureTimeoutMillis();
			views.add(
					new InstanceView(entry.instance, live, isSelf ? this.rules.appliedRevision() : entry.ruleRevision));
		}
		return views;
	}

}
