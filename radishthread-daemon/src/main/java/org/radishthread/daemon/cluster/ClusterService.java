package org.radishthread.daemon.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Freshness;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.Announcement;
import org.radishthread.membership.AnnouncementOutcome;
import org.radishthread.membership.InstanceView;
import org.radishthread.membership.Membership;
import org.radishthread.membership.MembershipEffects;
import org.radishthread.membership.MembershipSettings;
import org.radishthread.membership.ReplicationResult;
import org.radishthread.membership.RuleTransfer;
import org.radishthread.membership.ServingState;
import org.radishthread.membership.SilentInstance;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.ZoneEvacuation;

/**
 * Runs the {@link Membership} of this instance on an event loop: passes messages and the
 * time to it, sends the resulting messages, and publishes changes to listeners and as a
 * {@link ClusterView}. All methods may be called on any thread, unless stated otherwise.
 */
public final class ClusterService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "cluster";

	private static final EventLog eventLog = EventLog.of(ClusterService.class);

	private static final long TICK_INTERVAL_MILLIS = 200;

	private static final long PENDING_ROUND_TICK_INTERVAL_MILLIS = 50;

	private static final long STARTUP_TICK_INTERVAL_MILLIS = 100;

	private final DaemonSettings settings;

	private final PeerTransport transport;

	private final TimeSource time;

	private final Membership membership;

	private final EventLoop loop = new EventLoop("cluster");

	private final List<ClusterListener> listeners = new CopyOnWriteArrayList<>();

	// Accessed on the thread of the loop only.
	private final PendingChange<List<UpstreamRecord>> upstreamChange = new PendingChange<>("upstreams",
			ClusterListener::upstreamsChanged);

	// Accessed on the thread of the loop only.
	private final PendingChange<RuleFile> ruleChange = new PendingChange<>("rules", ClusterListener::rulesChanged);

	// Accessed on the thread of the loop only.
	private final PendingChange<Evacuations> evacuationChange = new PendingChange<>("evacuations",
			ClusterListener::evacuationsChanged);

	private final ReplicaDescriptor replica;

	// Null if this instance has no data folder.
	private @Nullable UpstreamStore upstreamStore;

	// Keyed by the id of the replication; accessed on the thread of the loop only.
	private final Map<Long, List<CompletableFuture<Boolean>>> pendingReplications = new HashMap<>();

	// Accessed on the thread of the loop only.
	private boolean roundPending;

	// Accessed on the thread of the loop only.
	private long loggedRefusedRules;

	private volatile ClusterView view;

	private volatile Evacuations evacuations = Evacuations.getDefaultInstance();

	private volatile long evacuationsCurrentAtMillis = Freshness.UNKNOWN;

	// Accessed on the thread of the loop only.
	private boolean evacuationsOutdated;

	public ClusterService(DaemonSettings settings, PeerTransport transport, TimeSource time, long replicaId) {
		this.settings = settings;
		this.transport = transport;
		this.time = time;
		this.replica = ReplicaDescriptor.newBuilder()
			.setId(replicaId)
			.setInstance(settings.instance())
			.setAddress(settings.peerAddress().toString())
			.build();
		Random random = new Random();
		MembershipSettings membershipSettings = MembershipSettings.defaults(settings.seeds(),
				settings.limits().rulesApplyMillis(), settings.limits().departureApplyMillis());
		this.membership = new Membership(selfRecord(), membershipSettings, (addresses, count) -> {
			List<String> shuffledAddresses = new ArrayList<>(addresses);
			Collections.shuffle(shuffledAddresses, random);
			return shuffledAddresses.subList(0, Math.min(count, shuffledAddresses.size()));
		});
		this.view = new ClusterView(ServingState.STARTING, nowMillis(), List.of(), RuleFile.getDefaultInstance(), false,
				this.membership.rulesCurrentAtMillis());
	}

	private InstanceRecord selfRecord() {
		return InstanceRecord.newBuilder()
			.setName(this.settings.instance())
			.setPeerAddress(this.settings.peerAddress().toString())
			.setAdministrationAddress(this.settings.administrationAddress().toString())
			.setZone(this.settings.zone())
			.setControl(this.settings.isControl())
			.setEvacuations(this.settings.isControl())
			.setGateway(this.settings.isGateway())
			.setCountsAllotments(this.settings.isGateway())
			.setDividesServices(this.settings.isGateway())
			.setAnswersSlotProbes(this.settings.isGateway())
			.setReplica(this.replica.getId())
			.setIncarnation(this.time.wallClockMillis())
			.build();
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Adds a listener, which is called on the thread of the event loop. To be called
	 * before {@link #start()}.
	 * @param listener the listener
	 */
	public void addListener(ClusterListener listener) {
		this.listeners.add(listener);
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.GOSSIP,
				(name, address, envelope) -> receive(() -> this.membership.receive(envelope.getGossip(), nowMillis())));
		this.transport.registerHandler(Envelope.BodyCase.SYNCHRONIZATION, (name, address,
				envelope) -> receive(() -> this.membership.receive(envelope.getSynchronization(), nowMillis())));
		this.transport.registerHandler(Envelope.BodyCase.RULE_REQUEST,
				(name, address, envelope) -> receive(() -> this.membership.receive(envelope.getRuleRequest(), name)));
		this.transport.registerHandler(Envelope.BodyCase.RULE_FILE,
				(name, address, envelope) -> receive(() -> this.membership.receive(envelope.getRuleFile())));
		this.transport.registerHandler(Envelope.BodyCase.LEASE_RENEWAL, (name, address,
				envelope) -> receive(() -> this.membership.receive(envelope.getLeaseRenewal(), nowMillis())));
		this.transport.registerHandler(Envelope.BodyCase.UPSTREAM_NOTICE, (name, address, envelope) -> receive(
				() -> this.membership.receive(envelope.getUpstreamNotice(), address, nowMillis())));
		this.transport.registerHandler(Envelope.BodyCase.UPSTREAM_NOTICE_RECEIPT, (name, address, envelope) -> receive(
				() -> this.membership.receive(envelope.getUpstreamNoticeReceipt(), name, nowMillis())));
		this.transport.registerHandler(Envelope.BodyCase.EVACUATIONS, (name, address,
				envelope) -> receive(() -> this.membership.receive(envelope.getEvacuations(), address)));
		this.loop.execute(this::tick);
	}

	private void tick() {
		try {
			process(() -> this.membership.tick(nowMillis()));
		}
		finally {
			this.loop.schedule(tickIntervalMillis(), this::tick);
		}
	}

	private long tickIntervalMillis() {
		if (this.roundPending) {
			return PENDING_ROUND_TICK_INTERVAL_MILLIS;
		}
		boolean notServing = this.view.state() == ServingState.STARTING || this.view.state() == ServingState.ISOLATED;
		return notServing ? STARTUP_TICK_INTERVAL_MILLIS : TICK_INTERVAL_MILLIS;
	}

	/**
	 * Restores the upstreams that were stored before this instance stopped, and stores
	 * changes from now on. To be called before {@link #start()}.
	 * @param store the store
	 */
	public void useUpstreamStore(UpstreamStore store) {
		this.upstreamStore = store;
		this.membership.useUpstreamStore();
		this.membership.restore(store.load(), nowMillis());
	}

	/**
	 * Applies reloaded settings, of which only the seeds can change.
	 * @param updatedSettings the reloaded settings
	 */
	public void updateSettings(DaemonSettings updatedSettings) {
		this.loop.execute(() -> process(() -> this.membership.updateSeeds(updatedSettings.seeds())));
	}

	private long nowMillis() {
		return this.time.monotonicMillis();
	}

	private void receive(Runnable handler) {
		this.loop.execute(() -> {
			// A message read right after a freeze may have been sent before it.
			if (!this.membership.detectFreeze(nowMillis())) {
				process(handler);
			}
			else {
				process(() -> {
				});
			}
		});
	}

	private void process(Runnable operation) {
		operation.run();
		boolean rulesApplied;
		do {
			MembershipEffects effects = this.membership.drain();
			offerChanges(effects);
			rulesApplied = applyChanges();
			updateView();
			carryOut(effects);
		}
		while (rulesApplied);
	}

	private void offerChanges(MembershipEffects effects) {
		if (effects.upstreams() != null) {
			eventLog.information("upstreams-changed")
				.with("count", this.membership.upstreams().size())
				.with("left", effects.upstreams().size() - this.membership.upstreams().size())
				.write();
			this.upstreamChange.offer(effects.upstreams(), this.listeners);
		}
		if (effects.rules() != null) {
			this.ruleChange.offer(effects.rules(), this.listeners);
		}
		if (effects.evacuations() != null) {
			this.evacuationChange.offer(effects.evacuations(), this.listeners);
		}
	}

	// Returns whether rules were applied, of which the peers must be told. Upstreams come
	// first, so that requests by new routes find those of their service.
	private boolean applyChanges() {
		long nowMillis = nowMillis();
		this.upstreamChange.deliver(nowMillis);
		RuleFile rules = this.ruleChange.deliver(nowMillis);
		if (rules != null) {
			this.membership.recordRulesApplied(rules.getRevision());
			logRules(rules.getRevision());
		}
		Evacuations changedEvacuations = this.evacuationChange.deliver(nowMillis);
		if (changedEvacuations != null) {
			recordEvacuations(changedEvacuations);
		}
		return rules != null;
	}

	private void updateView() {
		long nowMillis = nowMillis();
		// An unchanged list keeps its identity, so that callers can cache values that
		// they derive from it.
		List<InstanceView> instances = this.membership.instances(nowMillis);
		List<InstanceView> previousInstances = this.view.instances();
		ServingState state = this.membership.servingState(nowMillis);
		if (state != this.view.state()) {
			logStateChange(state, nowMillis);
		}
		this.view = new ClusterView(state, nowMillis,
				instances.equals(previousInstances) ? previousInstances : instances, this.membership.appliedRules(),
				this.membership.hasConfirmedRules(), this.membership.rulesCurrentAtMillis());
		this.evacuationsCurrentAtMillis = this.membership.evacuationsCurrentAtMillis();
		logOutdatedEvacuations();
	}

	private void carryOut(MembershipEffects effects) {
		if (effects.resumedFromFreeze()) {
			eventLog.warning("woke-from-freeze").with("instance", this.settings.instance()).write();
			attempt("connections", this.transport::closeInboundConnections);
		}
		this.roundPending = effects.roundPending();
		long nowMillis = nowMillis();
		effects.silentInstances().forEach((silentInstance) -> logSilentInstance(silentInstance, nowMillis));
		effects.suspectAddresses()
			.forEach((address) -> attempt("connection", () -> this.transport.closeConnection(address)));
		effects.messages()
			.forEach((message) -> attempt("message", () -> this.transport.send(message.address(), message.envelope())));
		effects.replicationResults().forEach((result) -> attempt("replication", () -> completeReplication(result)));
		logRefusedRules();
		UpstreamStore store = this.upstreamStore;
		if (effects.upstreamsToStore() != null && store != null) {
			attempt("storage", () -> store.save(effects.upstreamsToStore(),
					(change) -> this.loop.execute(() -> process(() -> this.membership.recordUpstreamsStored(change)))));
		}
	}

	// An effect that fails must not keep the others from being carried out: they are not
	// part of later effects.
	private static void attempt(String effect, Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			eventLog.failure("cluster-effect-failed", ex)
				.with("effect", effect)
				.with("next", "the other effects are carried out")
				.write();
		}
	}

	private void logOutdatedEvacuations() {
		boolean outdated = this.evacuations.getVersion() > 0
				&& evacuationsAgeMillis() > this.settings.limits().evacuationApplyMillis();
		if (outdated && !this.evacuationsOutdated) {
			eventLog.warning("evacuations-outdated")
				.with("instance", this.settings.instance())
				.with("version", this.evacuations.getVersion())
				.with("consequence", "the zones that are known to be evacuated stay so; later orders may be missing")
				.write();
		}
		this.evacuationsOutdated = outdated;
	}

	private void recordEvacuations(Evacuations changedEvacuations) {
		Evacuations formerEvacuations = this.evacuations;
		this.evacuations = changedEvacuations;
		for (ZoneEvacuation evacuation : changedEvacuations.getZonesList()) {
			boolean formerlyEvacuated = formerEvacuations.getZonesList()
				.stream()
				.anyMatch((former) -> former.getZone().equals(evacuation.getZone()) && former.getEvacuated());
			if (evacuation.getEvacuated() != formerlyEvacuated) {
				eventLog.information(evacuation.getEvacuated() ? "zone-evacuated" : "zone-restored")
					.with("zone", evacuation.getZone())
					.with("requested-by", evacuation.getRequestedBy())
					.with("ordered-at-millis", evacuation.getOrderedAtMillis())
					.with("version", evacuation.getVersion())
					.write();
			}
		}
	}

	private void logRefusedRules() {
		long refusedCount = this.membership.lastRuleTransfer().refusedCount();
		if (refusedCount > this.loggedRefusedRules) {
			this.loggedRefusedRules = refusedCount;
			eventLog.warning("rule-transfer-refused")
				.with("applied-revision", this.membership.appliedRules().getRevision())
				.with("refused", refusedCount)
				.with("next", "the whole file is requested")
				.write();
		}
	}

	private void logRules(long revision) {
		RuleTransfer transfer = this.membership.lastRuleTransfer();
		eventLog.information("rules-applied")
			.with("revision", revision)
			.with("form", transfer.form().name().toLowerCase(Locale.ROOT))
			.with("bytes", transfer.bytes())
			.write();
	}

	private void logSilentInstance(SilentInstance silentInstance, long nowMillis) {
		long currentAtMillis = this.membership.rulesCurrentAtMillis();
		eventLog.warning("control-instance-silent")
			.with("address", silentInstance.address())
			.with("silent-millis", silentInstance.silentMillis())
			.with("timeout-millis", silentInstance.timeoutMillis())
			.with("revision", this.membership.appliedRules().getRevision())
			.with("rules-age-millis", (currentAtMillis != Freshness.UNKNOWN) ? nowMillis - currentAtMillis : "unknown")
			.with("behind", this.membership.isBehind())
			.with("next", "reports go to another control instance over new connections")
			.write();
	}

	private void logStateChange(ServingState state, long nowMillis) {
		eventLog.information("serving-state-changed")
			.with("from", this.view.state().wireName())
			.with("to", state.wireName())
			.with("revision", this.membership.appliedRules().getRevision())
			.with("live", this.membership.liveInstanceCount(nowMillis))
			.with("expected", this.membership.expectedInstanceCount())
			.with("rules-confirmed", this.membership.hasConfirmedRules())
			.with("synchronized", this.membership.isSynchronized())
			.write();
	}

	/**
	 * Returns the control group replica of this instance.
	 * @return the descriptor, with id zero if this instance lacks the control role
	 */
	public ReplicaDescriptor replica() {
		return this.replica;
	}

	/**
	 * Applies an announcement of an upstream.
	 * @param announcement the announcement
	 * @return whether the announcement was at least as new as the stored record,
	 * completed once enough instances store it; fails with an
	 * {@link UnconfirmedChangeException} if too few confirm it in time
	 */
	public CompletableFuture<Boolean> announce(Announcement announcement) {
		return applyAndConfirm(() -> this.membership.announce(announcement, nowMillis()));
	}

	/**
	 * Marks an upstream as left at its own request.
	 * @param name the name of the upstream
	 * @param incarnation the incarnation that leaves, or zero if the upstream did not
	 * send it
	 * @return whether the withdrawal was accepted, completed once enough instances store
	 * it; a withdrawal of an earlier incarnation is accepted without effect; fails with
	 * an {@link UnconfirmedChangeException} if too few confirm it in time, or if there is
	 * no record of the upstream
	 */
	public CompletableFuture<Boolean> withdraw(String name, long incarnation) {
		return applyAndConfirm(() -> this.membership.withdraw(name, incarnation, nowMillis())
			.orElseThrow(() -> new UnconfirmedChangeException("Upstream '" + name + "' is not known here.")));
	}

	private CompletableFuture<Boolean> applyAndConfirm(Supplier<AnnouncementOutcome> operation) {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.loop.execute(() -> process(() -> {
			try {
				AnnouncementOutcome outcome = operation.get();
				if (outcome.replicationId() == 0) {
					result.complete(outcome.accepted());
				}
				else {
					this.pendingReplications.computeIfAbsent(outcome.replicationId(), (id) -> new ArrayList<>())
						.add(result);
				}
			}
			catch (UnconfirmedChangeException ex) {
				result.completeExceptionally(ex);
			}
		}));
		return result;
	}

	private void completeReplication(ReplicationResult result) {
		eventLog.information(result.successful() ? "upstream-change-confirmed" : "upstream-change-not-confirmed")
			.with("replication", result.replicationId())
			.with("stored-by", result.storedCount())
			.with("members", result.memberCount())
			.write();
		for (CompletableFuture<Boolean> future : this.pendingReplications.getOrDefault(result.replicationId(),
				List.of())) {
			if (result.successful()) {
				future.complete(true);
			}
			else {
				future.completeExceptionally(
						new UnconfirmedChangeException("The change is stored by " + result.storedCount() + " of "
								+ result.memberCount() + " control instances, too few of them."));
			}
		}
		this.pendingReplications.remove(result.replicationId());
	}

	/**
	 * Records the members of the control group that have a vote. Until this is called, no
	 * departure of an upstream is confirmed.
	 * @param instanceNames the names of the instances, or an empty set if this instance
	 * has no replica of a group
	 */
	public void recordControlGroup(Set<String> instanceNames) {
		eventLog.information("control-group-changed").with("members", new TreeSet<>(instanceNames)).write();
		this.loop.execute(() -> process(() -> this.membership.recordControlGroup(instanceNames)));
	}

	/**
	 * Returns the upstreams that have not left.
	 * @return their records
	 */
	public CompletableFuture<List<UpstreamRecord>> upstreams() {
		CompletableFuture<List<UpstreamRecord>> result = new CompletableFuture<>();
		this.loop.execute(() -> result.complete(this.membership.upstreams()));
		return result;
	}

	/**
	 * Determines how many instances have applied a rule revision.
	 * @param revision the revision
	 * @return the numbers of instances
	 */
	public CompletableFuture<RulePropagation> rulePropagation(long revision) {
		CompletableFuture<RulePropagation> result = new CompletableFuture<>();
		this.loop.execute(() -> result
			.complete(new RulePropagation(this.membership.countInstancesAtRevision(revision, nowMillis()),
					this.membership.responsiveInstanceCount(nowMillis()), this.membership.expectedInstanceCount(),
					this.membership.isSynchronized())));
		return result;
	}

	/**
	 * Applies committed rules, unless their revision is not higher than the applied one.
	 * @param rules the rules
	 */
	public void offerRules(RuleFile rules) {
		this.loop.execute(() -> process(() -> this.membership.offerRules(rules)));
	}

	/**
	 * Applies rules read from a quorum of the control group, which confirms that they are
	 * in force.
	 * @param rules the rules
	 */
	public void confirmRules(RuleFile rules) {
		this.loop.execute(() -> process(() -> this.membership.confirmRules(rules)));
	}

	/**
	 * Records that this control instance has applied every revision that the control
	 * group had accepted at a time. To be called after {@link #offerRules} with them.
	 * @param atMillis the monotonic time, in milliseconds
	 */
	public void recordRulesCurrent(long atMillis) {
		this.loop.execute(() -> this.membership.recordRulesCurrent(atMillis));
	}

	/**
	 * Applies committed evacuations of availability zones, unless their version is not
	 * higher than that of the applied ones.
	 * @param offeredEvacuations the evacuations
	 */
	public void offerEvacuations(Evacuations offeredEvacuations) {
		this.loop.execute(() -> process(() -> this.membership.offerEvacuations(offeredEvacuations)));
	}

	/**
	 * Returns the evacuations of availability zones that this instance applies.
	 * @return the evacuations, with version zero if none was ever ordered
	 */
	public Evacuations evacuations() {
		return this.evacuations;
	}

	/**
	 * Returns the time since the applied evacuations were last known to be the newest.
	 * @return the time, in milliseconds, very high if that is not known
	 */
	public long evacuationsAgeMillis() {
		return nowMillis() - this.evacuationsCurrentAtMillis;
	}

	/**
	 * Returns whether a request that no applied rule matches may be refused for good.
	 * @return whether every revision that must be in force by now is applied
	 */
	public boolean hasAllRulesInForce() {
		return this.view.hasAllRulesInForce(nowMillis(), this.settings.limits().rulesApplyMillis());
	}

	/**
	 * Returns the time since the applied rules were last known to be the newest accepted
	 * ones.
	 * @return the time, in milliseconds, very high if that is not known
	 */
	public long rulesAgeMillis() {
		return nowMillis() - this.view.rulesCurrentAtMillis();
	}

	/**
	 * Returns whether this instance must read the rules in force from the control group.
	 * @return whether the applied rules are not confirmed, or may be outdated, unless
	 * this instance is stopping
	 */
	public boolean needsRuleConfirmation() {
		ClusterView currentView = this.view;
		boolean confirmed = currentView.rulesConfirmed() && currentView.state() != ServingState.ISOLATED;
		return !confirmed && currentView.state() != ServingState.STOPPING;
	}

	/**
	 * Returns the latest view of the cluster.
	 * @return the view as of the last message or tick
	 */
	public ClusterView view() {
		return this.view;
	}

	/**
	 * Returns whether this instance may accept new requests now.
	 * @return the state
	 */
	public ServingState servingState() {
		ClusterView currentView = this.view;
		// An outdated view means that this process was suspended.
		boolean outdated = nowMillis() - currentView.createdAtMillis() > ClusterView.MAXIMUM_AGE_MILLIS;
		return (outdated && currentView.state() == ServingState.READY) ? ServingState.ISOLATED : currentView.state();
	}

	/**
	 * Returns the peer addresses of the control instances.
	 * @return the addresses, live ones first
	 */
	public List<String> controlInstanceAddresses() {
		List<String> addresses = this.view.instances()
			.stream()
			.filter((instance) -> instance.instance().getControl() && !instance.instance().getLeaving())
			.sorted((left, right) -> Boolean.compare(right.live(), left.live()))
			.map((instance) -> instance.instance().getPeerAddress())
			.toList();
		// An instance that starts knows no others yet; seeds are often control instances.
		return addresses.isEmpty() ? this.settings.seeds() : addresses;
	}

	/**
	 * Returns the current peer address of a replica.
	 * @param id the id of the replica
	 * @return the address, or empty if no known instance has the replica
	 */
	public Optional<String> findReplicaAddress(long id) {
		return this.view.instances()
			.stream()
			.map(InstanceView::instance)
			.filter((instance) -> instance.getReplica() == id)
			.map(InstanceRecord::getPeerAddress)
			.findFirst();
	}

	/**
	 * Announces to the peers that this instance accepts no new requests and leaves.
	 */
	public void leave() {
		this.loop.execute(() -> process(() -> this.membership.leave(nowMillis())));
	}

	@Override
	public void stop() {
		this.loop.stop();
	}

}
