package org.radishthread.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.radishthread.kernel.Assert;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Gossip;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.LeaseRenewal;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RuleRequest;
import org.radishthread.protocol.Synchronization;
import org.radishthread.protocol.UpstreamNotice;
import org.radishthread.protocol.UpstreamNoticeReceipt;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;

/**
 * One instance's part in the membership protocol. Heartbeats and rule revisions of all
 * instances travel as a compact vector; changed records ride on it for a few rounds; a
 * digest of all records finds what was missed (Demers and others, "Epidemic Algorithms
 * for Replicated Database Maintenance", 1987). It is a state machine: callers pass
 * messages and the time, and collect effects by {@link #drain()}.
 */
public final class Membership {

	private static final int RECORDS_PER_ROUND = 24;

	private static final long WAKE_GAP_MILLIS = 2_000;

	private static final long RULE_LAG_MILLIS = 3_000;

	private static final long JOIN_PAUSE_MILLIS = 1_000;

	// An instance that starts finds the others sooner by more rounds, for a time that
	// does
	// not count beside the byte budget.
	private static final long STARTING_MILLIS = 5_000;

	private static final long STARTING_PAUSE_MILLIS = 100;

	private static final long SYNCHRONIZATION_PAUSE_MILLIS = 10_000;

	private static final long SEQUENCES_PASSED_BY_LEAVING = 1_000_000;

	private static final int BYTES_PER_INSTANCE = 13;

	private static final int BYTES_PER_ROUND = 60;

	private final MembershipSettings settings;

	private List<String> seeds;

	private final PeerSelector selector;

	private InstanceRecord self;

	private final InstanceTable instances;

	private final UpstreamTable upstreams;

	private final RuleFollower rules = new RuleFollower();

	private final ChangeQueue<UpstreamRecord> changedUpstreams = new ChangeQueue<>();

	private final ChangeQueue<InstanceRecord> changedInstances = new ChangeQueue<>();

	private final List<Outgoing> outgoing = new ArrayList<>();

	private final AnnouncementReplication replication = new AnnouncementReplication();

	private boolean upstreamsChanged;

	private boolean rulesChanged;

	private boolean urgent;

	private boolean woke;

	private long heartbeat;

	private long lastTimeMillis = Long.MIN_VALUE;

	private long startedMillis = Long.MIN_VALUE;

	private long nextRoundMillis = Long.MIN_VALUE;

	private long lastSynchronizationMillis = Long.MIN_VALUE / 2;

	private boolean rulesConfirmed;

	private boolean upstreamsLearned;

	public Membership(InstanceRecord self, MembershipSettings settings, PeerSelector selector) {
		this.self = self;
		this.settings = settings;
		this.seeds = settings.seeds();
		this.selector = selector;
		this.heartbeat = self.getIncarnation();
		this.instances = new InstanceTable(self.getName());
		this.upstreams = new UpstreamTable(self.getName());
		this.instances.merge(self, 0);
		this.changedInstances.add(self.getName(), self, this.seeds.size());
	}

	// Effects

	/**
	 * Hands over what is to be done since the last call.
	 * @return the effects
	 */
	public MembershipEffects drain() {
		if (this.urgent) {
			this.urgent = false;
			sendRound(this.settings.urgentFanout());
		}
		MembershipEffects effects = new MembershipEffects(List.copyOf(this.outgoing),
				this.upstreamsChanged ? upstreams() : null, this.rulesChanged ? this.rules.applied() : null,
				this.replication.takeResults(), this.woke);
		this.outgoing.clear();
		this.upstreamsChanged = false;
		this.rulesChanged = false;
		this.woke = false;
		return effects;
	}

	private void send(String address, Envelope.Builder envelope) {
		this.outgoing.add(new Outgoing(address, envelope.build()));
	}

	/**
	 * Sets whom to ask first when too few instances are heard of.
	 * @param updated peer addresses
	 */
	public void updateSeeds(List<String> updated) {
		this.seeds = List.copyOf(updated);
	}

	// Time

	/**
	 * Lets time pass.
	 * @param now the monotonic time, in milliseconds
	 */
	public void tick(long now) {
		observe(now);
		expireLeases(now);
		forgetInstances(now);
		confirmRulesByMajority(now);
		replicate(now);
		learnUpstreams(now);
		if (now >= this.nextRoundMillis) {
			this.heartbeat++;
			this.instances.heard(ShortName.of(this.self.getName()), this.heartbeat, this.rules.revision(), now);
			if (isStarting(now)) {
				// Peers that just started, too, may have missed the rounds before.
				this.changedInstances.add(this.self.getName(), this.self, 1);
			}
			sendRound(this.settings.fanout());
			this.nextRoundMillis = now + (isStarting(now) ? STARTING_PAUSE_MILLIS : roundMillis());
		}
	}

	private boolean isStarting(long now) {
		boolean knowsEnough = this.rulesConfirmed && this.upstreamsLearned;
		return !knowsEnough && now - this.startedMillis < STARTING_MILLIS;
	}

	// With many instances rounds are spaced out to keep the byte budget. Only the vector
	// of heartbeats counts: were a burst of changes to delay heartbeats, live instances
	// would seem lost, which is a change in turn.
	private long roundMillis() {
		long vectorBytes = BYTES_PER_ROUND + (long) BYTES_PER_INSTANCE * this.instances.entries().size();
		long spacing = this.settings.fanout() * vectorBytes * 1_000 / this.settings.bytesPerSecond();
		return Math.max(this.settings.gossipMillis(), spacing);
	}

	// Heartbeats that come more rarely must be missed for longer.
	private long scaled(long millis) {
		return millis * roundMillis() / this.settings.gossipMillis();
	}

	private long silenceMillis() {
		return scaled(this.settings.silenceMillis());
	}

	private long isolationMillis() {
		return scaled(this.settings.isolationMillis());
	}

	/**
	 * Detects that this process was frozen; what it knew before counts for nothing then.
	 * @param now the monotonic time, in milliseconds
	 * @return whether a message that arrived now may stem from before the freeze and must
	 * be dropped
	 */
	public boolean observe(long now) {
		boolean gap = this.lastTimeMillis != Long.MIN_VALUE && now - this.lastTimeMillis > WAKE_GAP_MILLIS;
		if (this.lastTimeMillis == Long.MIN_VALUE) {
			this.startedMillis = now;
		}
		this.lastTimeMillis = now;
		if (gap) {
			this.instances.distrust();
			this.upstreams.renewAll(now);
			this.rulesConfirmed = false;
			this.woke = true;
		}
		return gap;
	}

	private void expireLeases(long now) {
		long since = now - silenceMillis();
		// While no control instance is heard of, upstreams have nowhere to renew leases.
		boolean renewable = this.instances.entries()
			.stream()
			.anyMatch(
					(entry) -> entry.instance.getControl() && this.instances.isAlive(entry.instance.getName(), since));
		for (UpstreamRecord changed : this.upstreams.expire(now,
				(holder) -> !renewable || this.instances.isAlive(holder, since))) {
			upstreamChanged(changed);
		}
	}

	private void forgetInstances(long now) {
		if (hasMajority(now)) {
			this.instances.forgetSilentSince(now - this.settings.forgetMillis());
			this.instances.forgetLeftBefore(now - silenceMillis() * 2);
		}
	}

	// Gossip

	private void sendRound(int fanout) {
		Set<String> candidates = new LinkedHashSet<>(this.instances.otherAddresses());
		if (!hasMajority(this.lastTimeMillis)) {
			candidates.addAll(this.seeds);
		}
		candidates.remove(this.self.getPeerAddress());
		List<String> chosen = this.selector.choose(List.copyOf(candidates), fanout);
		if (chosen.isEmpty()) {
			return;
		}
		Gossip gossip = gossip();
		chosen.forEach((address) -> send(address, Envelope.newBuilder().setGossip(gossip)));
	}

	private Gossip gossip() {
		Gossip.Builder gossip = Gossip.newBuilder()
			.setSender(this.self.getName())
			.setSenderAddress(this.self.getPeerAddress());
		long since = this.lastTimeMillis - silenceMillis();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean own = entry.instance.getName().equals(this.self.getName());
			if (own || entry.heardMillis >= since) {
				gossip.addInstances(ShortName.of(entry.instance.getName()));
				gossip.addHeartbeats(own ? this.heartbeat : entry.heartbeat);
				gossip.addRevisions(own ? reportedRevision() : entry.revision);
			}
		}
		gossip.addAllUpstreams(this.changedUpstreams.takeRound(RECORDS_PER_ROUND));
		gossip.addAllRecords(this.changedInstances.takeRound(RECORDS_PER_ROUND));
		return gossip.setDigest(digest()).build();
	}

	// What an instance read from its disk, or from another that just started, may be
	// older
	// than what was accepted meanwhile; it must not count as in force.
	private long reportedRevision() {
		return this.rulesConfirmed ? this.rules.revision() : InstanceTable.UNCONFIRMED;
	}

	/**
	 * Takes in a round of gossip.
	 * @param gossip the message
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(Gossip gossip, long now) {
		gossip.getRecordsList().forEach((received) -> mergeInstance(received, now));
		gossip.getUpstreamsList().forEach((received) -> mergeUpstream(received, now));
		boolean strangers = false;
		int count = Math.min(gossip.getInstancesCount(),
				Math.min(gossip.getHeartbeatsCount(), gossip.getRevisionsCount()));
		for (int i = 0; i < count; i++) {
			strangers |= !heard(gossip.getInstances(i), gossip.getHeartbeats(i), gossip.getRevisions(i), now);
		}
		InstanceTable.Entry sender = this.instances.find(gossip.getSender());
		String address = gossip.getSenderAddress();
		if (sender != null && this.rules.shouldRequest(sender.revision, now)) {
			send(address, Envelope.newBuilder()
				.setRuleRequest(RuleRequest.newBuilder().setKnownRevision(this.rules.revision())));
		}
		boolean settled = this.changedUpstreams.isEmpty() && gossip.getUpstreamsCount() == 0;
		if (sender == null || strangers) {
			requestSynchronization(address, now, JOIN_PAUSE_MILLIS);
		}
		else if (settled && gossip.getDigest() != digest()) {
			requestSynchronization(address, now, SYNCHRONIZATION_PAUSE_MILLIS);
		}
	}

	private boolean heard(int id, long receivedHeartbeat, long revision, long now) {
		if (id == ShortName.of(this.self.getName())) {
			// A former run of this instance may have counted further.
			this.heartbeat = Math.max(this.heartbeat, receivedHeartbeat);
			return true;
		}
		return this.instances.heard(id, receivedHeartbeat, revision, now);
	}

	private void mergeInstance(InstanceRecord received, long now) {
		if (received.getName().equals(this.self.getName())) {
			outlive(received);
			return;
		}
		if (this.instances.merge(received, now)) {
			this.changedInstances.add(received.getName(), received, this.instances.entries().size());
			this.urgent = true;
		}
	}

	// A former run started while the calendar time was ahead; others would ignore this
	// one.
	private void outlive(InstanceRecord former) {
		if (former.getIncarnation() <= this.self.getIncarnation()) {
			return;
		}
		this.self = this.self.toBuilder().setIncarnation(former.getIncarnation() + 1).build();
		this.instances.merge(this.self, 0);
		this.changedInstances.add(this.self.getName(), this.self, this.instances.entries().size());
		this.urgent = true;
	}

	private void mergeUpstream(UpstreamRecord received, long now) {
		if (this.upstreams.merge(received, now)) {
			upstreamChanged(received);
		}
	}

	private void upstreamChanged(UpstreamRecord changed) {
		this.changedUpstreams.add(changed.getName(), changed, this.instances.entries().size());
		this.upstreamsChanged = true;
		this.urgent = true;
	}

	// Synchronization

	private long digest() {
		return UpstreamVersions.digest(this.upstreams.entries());
	}

	// Control instances keep upstreams across restarts; another instance may just have
	// started, too.
	private void learnUpstreams(long now) {
		if (!this.upstreamsLearned) {
			List<String> control = this.instances.otherControlAddresses();
			this.selector.choose(control.isEmpty() ? this.instances.otherAddresses() : control, 1)
				.forEach((address) -> requestSynchronization(address, now,
						isStarting(now) ? STARTING_PAUSE_MILLIS : JOIN_PAUSE_MILLIS));
		}
	}

	private void requestSynchronization(String address, long now, long pauseMillis) {
		if (now - this.lastSynchronizationMillis < pauseMillis) {
			return;
		}
		this.lastSynchronizationMillis = now;
		send(address, Envelope.newBuilder().setSynchronization(versions(false)));
	}

	private Synchronization.Builder versions(boolean answer) {
		return Synchronization.newBuilder()
			.setSender(this.self.getName())
			.setSenderAddress(this.self.getPeerAddress())
			.setAnswer(answer)
			.addAllKnown(UpstreamVersions.known(this.upstreams.entries()));
	}

	/**
	 * Takes in the versions known to a peer and records that this instance may lack.
	 * @param received the message
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(Synchronization received, long now) {
		received.getRecordsList().forEach((instance) -> mergeInstance(instance, now));
		received.getUpstreamsList().forEach((upstream) -> mergeUpstream(upstream, now));
		if (received.getAnswer()) {
			this.upstreamsLearned = true;
			return;
		}
		Synchronization.Builder answer = versions(true);
		this.instances.entries().forEach((entry) -> answer.addRecords(entry.instance));
		answer.addAllUpstreams(UpstreamVersions.missing(this.upstreams.entries(), received.getKnownList()));
		send(received.getSenderAddress(), Envelope.newBuilder().setSynchronization(answer));
	}

	// Upstreams

	/**
	 * Takes in an announcement of an upstream.
	 * @param announced what the upstream says
	 * @param now the monotonic time, in milliseconds
	 * @return what became of it
	 */
	public AnnouncementOutcome announce(Announcement announced, long now) {
		UpstreamRecord record = toRecord(announced);
		UpstreamTable.Entry known = this.upstreams.find(announced.name());
		if (known != null && isRenewal(record, known.upstream) && known.upstream.getState() == UpstreamState.READY) {
			boolean current = renewAtHolder(known.upstream, record, now);
			return current ? AnnouncementOutcome.confirmed() : AnnouncementOutcome.stale();
		}
		return change(record, now);
	}

	/**
	 * Takes in the word of an upstream that it leaves for good.
	 * @param name the name of the upstream
	 * @param incarnation the incarnation that leaves, or zero if the upstream did not say
	 * @param now the monotonic time, in milliseconds
	 * @return what became of it, or empty if the upstream is not known here
	 */
	public Optional<AnnouncementOutcome> withdraw(String name, long incarnation, long now) {
		UpstreamTable.Entry known = this.upstreams.find(name);
		if (known == null) {
			return Optional.empty();
		}
		if (incarnation != 0 && incarnation < known.upstream.getIncarnation()) {
			return Optional.of(AnnouncementOutcome.confirmed());
		}
		if (known.upstream.getState() == UpstreamState.LEFT) {
			return Optional.of(change(known.upstream, now));
		}
		// No announcement of this incarnation that is still under way may undo it.
		UpstreamRecord left = known.upstream.toBuilder()
			.setIncarnation(Math.max(incarnation, known.upstream.getIncarnation()))
			.setSequence(known.upstream.getSequence() + SEQUENCES_PASSED_BY_LEAVING)
			.setState(UpstreamState.LEFT)
			.build();
		return Optional.of(change(left, now));
	}

	// Takes in a record and sees to it that it is held by enough others.
	private AnnouncementOutcome change(UpstreamRecord record, long now) {
		boolean newer = this.upstreams.merge(record, now);
		if (newer) {
			upstreamChanged(record);
		}
		UpstreamTable.Entry held = this.upstreams.find(record.getName());
		Assert.state(held != null, "A record must be held once it was merged.");
		boolean same = held.upstream.getIncarnation() == record.getIncarnation()
				&& held.upstream.getSequence() == record.getSequence();
		if (!newer && !same) {
			return AnnouncementOutcome.stale();
		}
		if (held.replicated) {
			return AnnouncementOutcome.confirmed();
		}
		long replication = this.replication.start(held.upstream, now);
		this.outgoing.addAll(this.replication.due(recipients(now)));
		return new AnnouncementOutcome(true, replication);
	}

	private AnnouncementReplication.Recipients recipients(long now) {
		List<AnnouncementReplication.Recipient> live = new ArrayList<>();
		Set<String> control = new LinkedHashSet<>();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			InstanceRecord instance = entry.instance;
			if (instance.getName().equals(this.self.getName()) || instance.getLeaving()) {
				continue;
			}
			if (entry.heardMillis >= now - silenceMillis()) {
				live.add(new AnnouncementReplication.Recipient(instance.getName(), instance.getPeerAddress()));
			}
			if (instance.getControl()) {
				control.add(instance.getName());
			}
		}
		return new AnnouncementReplication.Recipients(live, control, this.self.getControl());
	}

	private void replicate(long now) {
		AnnouncementReplication.Recipients recipients = recipients(now);
		this.replication.decide(recipients, now).forEach(this.upstreams::markReplicated);
		this.outgoing.addAll(this.replication.due(recipients));
	}

	/**
	 * Takes in a record that another instance wants to be held here.
	 * @param notice the message
	 * @param sender the peer address of the instance
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(UpstreamNotice notice, String sender, long now) {
		mergeUpstream(notice.getUpstream(), now);
		send(sender, Envelope.newBuilder()
			.setUpstreamNoticeReceipt(UpstreamNoticeReceipt.newBuilder().setId(notice.getId())));
	}

	/**
	 * Learns that another instance holds a record.
	 * @param receipt the message
	 * @param sender the name of the instance
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(UpstreamNoticeReceipt receipt, String sender, long now) {
		this.replication.confirmed(receipt.getId(), sender);
		this.replication.decide(recipients(now), now).forEach(this.upstreams::markReplicated);
	}

	private static boolean isRenewal(UpstreamRecord record, UpstreamRecord known) {
		return known.toBuilder().setSequence(record.getSequence()).setHolder(record.getHolder()).build().equals(record)
				&& known.getState() != UpstreamState.LEFT;
	}

	private boolean renewAtHolder(UpstreamRecord known, UpstreamRecord record, long now) {
		if (known.getHolder().equals(this.self.getName())) {
			return this.upstreams.renew(record.getName(), record.getIncarnation(), record.getSequence(), now);
		}
		InstanceTable.Entry holder = this.instances.find(known.getHolder());
		if (holder == null || !this.instances.isAlive(known.getHolder(), now - silenceMillis())) {
			boolean newer = this.upstreams.merge(record, now);
			if (newer) {
				upstreamChanged(record);
			}
			return newer;
		}
		LeaseRenewal renewal = LeaseRenewal.newBuilder()
			.setName(record.getName())
			.setIncarnation(record.getIncarnation())
			.setSequence(record.getSequence())
			.build();
		send(holder.instance.getPeerAddress(), Envelope.newBuilder().setLeaseRenewal(renewal));
		return record.getSequence() > known.getSequence();
	}

	private UpstreamRecord toRecord(Announcement announced) {
		return UpstreamRecord.newBuilder()
			.setName(announced.name())
			.setService(announced.service())
			.setAddress(announced.address())
			.setZone(announced.zone())
			.setSlots(announced.slots())
			.setIncarnation(announced.incarnation())
			.setSequence(announced.sequence())
			.setState(announced.state())
			.setHolder(this.self.getName())
			.setLeaseMillis(announced.leaseMillis())
			.build();
	}

	/**
	 * Takes in a renewal that an upstream sent to another instance.
	 * @param renewal the message
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(LeaseRenewal renewal, long now) {
		this.upstreams.renew(renewal.getName(), renewal.getIncarnation(), renewal.getSequence(), now);
	}

	/**
	 * Takes in records that were known before this instance stopped.
	 * @param known the records
	 * @param now the monotonic time, in milliseconds
	 */
	public void restore(List<UpstreamRecord> known, long now) {
		known.forEach((upstream) -> mergeUpstream(upstream, now));
	}

	/**
	 * Returns the upstreams that have not left.
	 * @return their records
	 */
	public List<UpstreamRecord> upstreams() {
		return this.upstreams.entries()
			.stream()
			.map((entry) -> entry.upstream)
			.filter((upstream) -> upstream.getState() != UpstreamState.LEFT)
			.toList();
	}

	// Rules

	/**
	 * Offers rules that are committed; a lower revision than the applied one is ignored.
	 * @param offered the rules
	 */
	public void offerRules(RuleFile offered) {
		if (this.rules.offer(offered)) {
			this.rulesChanged = true;
			this.urgent = true;
		}
	}

	/**
	 * Learns the rules from a quorum of the control group, which confirms that they are
	 * the ones in force.
	 * @param confirmed the rules
	 */
	public void confirmRules(RuleFile confirmed) {
		offerRules(confirmed);
		this.rulesConfirmed = true;
	}

	/**
	 * Answers a peer that lacks the rules applied here.
	 * @param request the request
	 * @param sender the name of the instance that asks
	 */
	public void receive(RuleRequest request, String sender) {
		InstanceTable.Entry entry = this.instances.find(sender);
		if (entry != null && this.rules.revision() > request.getKnownRevision()) {
			send(entry.instance.getPeerAddress(), Envelope.newBuilder().setRuleFile(this.rules.applied()));
		}
	}

	public RuleFile appliedRules() {
		return this.rules.applied();
	}

	/**
	 * Returns whether the rules applied here were confirmed since this process started or
	 * woke.
	 * @return whether they are known to be in force
	 */
	public boolean isRulesConfirmed() {
		return this.rulesConfirmed;
	}

	/**
	 * Returns whether another instance has told all upstreams that it knows.
	 * @return whether the upstreams are known
	 */
	public boolean isUpstreamsLearned() {
		return this.upstreamsLearned;
	}

	// An accepted revision is in force at a majority, and two majorities overlap. After a
	// stop of all instances nobody has confirmed rules, and only the control group can.
	private void confirmRulesByMajority(long now) {
		long since = now - isolationMillis();
		if (!this.rulesConfirmed && 2 * this.instances.confirmedSince(since) > expectedInstances()
				&& this.rules.revision() >= this.instances.highestRevisionHeard(since)) {
			this.rulesConfirmed = true;
		}
	}

	/**
	 * Counts the instances that have applied a revision.
	 * @param revision the revision
	 * @param now the monotonic time, in milliseconds
	 * @return the count, with this instance
	 */
	public int countApplied(long revision, long now) {
		long since = now - isolationMillis();
		int count = 0;
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean own = entry.instance.getName().equals(this.self.getName());
			long applied = own ? this.rules.revision() : entry.revision;
			if ((own || entry.heardMillis >= since) && applied >= revision) {
				count++;
			}
		}
		return count;
	}

	// State

	/**
	 * Returns the number of instances that belong to the system, lost ones included.
	 * @return the count, with this instance
	 */
	public int expectedInstances() {
		int known = this.instances.expectedCount();
		boolean othersUnknown = known <= 1
				&& this.seeds.stream().anyMatch((seed) -> !seed.equals(this.self.getPeerAddress()));
		return Math.max(known + (othersUnknown ? 1 : 0), this.seeds.size());
	}

	/**
	 * Returns the number of instances heard of lately.
	 * @param now the monotonic time, in milliseconds
	 * @return the count, with this instance
	 */
	public int liveInstances(long now) {
		return this.instances.heardCount(now - isolationMillis());
	}

	private boolean hasMajority(long now) {
		return 2 * liveInstances(now) > expectedInstances();
	}

	/**
	 * Returns whether this instance may take new work.
	 * @param now the monotonic time, in milliseconds
	 * @return the state
	 */
	public ServingState servingState(long now) {
		if (this.self.getLeaving()) {
			return ServingState.STOPPING;
		}
		boolean stale = this.lastTimeMillis != Long.MIN_VALUE && now - this.lastTimeMillis > WAKE_GAP_MILLIS;
		if (stale || !hasMajority(now) || this.rules.isBehindLongerThan(RULE_LAG_MILLIS, now)) {
			return ServingState.ISOLATED;
		}
		// An instance that starts must not route before it knows which upstreams have
		// left.
		boolean learned = this.upstreamsLearned || this.instances.entries().size() == 1;
		return (this.rulesConfirmed && learned) ? ServingState.READY : ServingState.STARTING;
	}

	/**
	 * Tells the others that this instance stops taking new work.
	 * @param now the monotonic time, in milliseconds
	 */
	public void leave(long now) {
		this.self = this.self.toBuilder().setLeaving(true).build();
		this.instances.merge(this.self, now);
		this.changedInstances.add(this.self.getName(), this.self, this.instances.entries().size());
		this.urgent = true;
	}

	/**
	 * Returns what is known of all instances.
	 * @param now the monotonic time, in milliseconds
	 * @return one view for each instance
	 */
	public List<InstanceView> instances(long now) {
		List<InstanceView> views = new ArrayList<>();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			boolean own = entry.instance.getName().equals(this.self.getName());
			boolean live = own || entry.heardMillis >= now - silenceMillis();
			views.add(new InstanceView(entry.instance, live, own ? this.rules.revision() : entry.revision));
		}
		return views;
	}

}
