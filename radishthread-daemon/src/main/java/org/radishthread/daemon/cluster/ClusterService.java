package org.radishthread.daemon.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.Announcement;
import org.radishthread.membership.AnnouncementOutcome;
import org.radishthread.membership.InstanceView;
import org.radishthread.membership.Membership;
import org.radishthread.membership.MembershipEffects;
import org.radishthread.membership.MembershipSettings;
import org.radishthread.membership.ReplicationResult;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Drives {@link Membership} by messages and time and publishes what it learns.
 */
public final class ClusterService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "cluster";

	private static final EventLog eventLog = EventLog.of(ClusterService.class);

	private static final long TICK_MILLIS = 200;

	private static final long STARTING_TICK_MILLIS = 50;

	private final DaemonSettings settings;

	private final PeerTransport transport;

	private final TimeSource time;

	private final Membership membership;

	private final EventLoop loop = new EventLoop("cluster");

	private final List<ClusterListener> listeners = new CopyOnWriteArrayList<>();

	private final ReplicaDescriptor replica;

	// Used on the thread of the loop only.
	private final Map<Long, List<CompletableFuture<Boolean>>> replications = new HashMap<>();

	private volatile ClusterView view;

	public ClusterService(DaemonSettings settings, PeerTransport transport, TimeSource time, long replicaIdentity) {
		this.settings = settings;
		this.transport = transport;
		this.time = time;
		this.replica = ReplicaDescriptor.newBuilder()
			.setId(replicaIdentity)
			.setInstance(settings.instance())
			.setAddress(settings.peerAddress().toString())
			.build();
		Random random = new Random();
		this.membership = new Membership(selfRecord(), MembershipSettings.defaults(settings.seeds()),
				(addresses, count) -> {
					List<String> shuffled = new ArrayList<>(addresses);
					Collections.shuffle(shuffled, random);
					return shuffled.subList(0, Math.min(count, shuffled.size()));
				});
		this.view = new ClusterView(ServingState.STARTING, now(), List.of(), RuleFile.getDefaultInstance());
	}

	private InstanceRecord selfRecord() {
		return InstanceRecord.newBuilder()
			.setName(this.settings.instance())
			.setPeerAddress(this.settings.peerAddress().toString())
			.setAdministrationAddress(this.settings.administrationAddress().toString())
			.setZone(this.settings.zone())
			.setControl(this.settings.isControl())
			.setGateway(this.settings.isGateway())
			.setReplica(this.replica.getId())
			.setIncarnation(this.time.wallClockMillis())
			.build();
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Adds a listener; to be called before {@link #start()}.
	 * @param listener the listener
	 */
	public void addListener(ClusterListener listener) {
		this.listeners.add(listener);
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.GOSSIP,
				(name, address, envelope) -> receive(() -> this.membership.receive(envelope.getGossip(), now())));
		this.transport.registerHandler(Envelope.BodyCase.SYNCHRONIZATION, (name, address,
				envelope) -> receive(() -> this.membership.receive(envelope.getSynchronization(), now())));
		this.transport.registerHandler(Envelope.BodyCase.RULE_REQUEST,
				(name, address, envelope) -> receive(() -> this.membership.receive(envelope.getRuleRequest(), name)));
		this.transport.registerHandler(Envelope.BodyCase.RULE_FILE,
				(name, address, envelope) -> receive(() -> this.membership.offerRules(envelope.getRuleFile())));
		this.transport.registerHandler(Envelope.BodyCase.LEASE_RENEWAL,
				(name, address, envelope) -> receive(() -> this.membership.receive(envelope.getLeaseRenewal(), now())));
		this.transport.registerHandler(Envelope.BodyCase.UPSTREAM_NOTICE, (name, address,
				envelope) -> receive(() -> this.membership.receive(envelope.getUpstreamNotice(), address, now())));
		this.transport.registerHandler(Envelope.BodyCase.UPSTREAM_NOTICE_RECEIPT, (name, address,
				envelope) -> receive(() -> this.membership.receive(envelope.getUpstreamNoticeReceipt(), name, now())));
		this.loop.execute(this::tick);
	}

	private void tick() {
		try {
			step(() -> this.membership.tick(now()));
		}
		finally {
			boolean starting = this.view.state() == ServingState.STARTING || this.view.state() == ServingState.ISOLATED;
			this.loop.schedule(starting ? STARTING_TICK_MILLIS : TICK_MILLIS, this::tick);
		}
	}

	/**
	 * Takes upstreams that were known before this instance stopped; to be called before
	 * {@link #start()}.
	 * @param upstreams the upstreams
	 */
	public void restoreUpstreams(List<UpstreamRecord> upstreams) {
		this.membership.restore(upstreams, now());
	}

	/**
	 * Takes settings that were read again; the seeds are all that can change.
	 * @param changed the settings
	 */
	public void updateSettings(DaemonSettings changed) {
		this.loop.execute(() -> step(() -> this.membership.updateSeeds(changed.seeds())));
	}

	private long now() {
		return this.time.monotonicMillis();
	}

	private void receive(Runnable message) {
		this.loop.execute(() -> {
			// A message read right after a freeze may be as old as the freeze is long.
			if (!this.membership.observe(now())) {
				step(message);
			}
			else {
				step(() -> {
				});
			}
		});
	}

	private void step(Runnable event) {
		event.run();
		MembershipEffects effects = this.membership.drain();
		long now = now();
		// An unchanged list keeps its identity, so that what is derived from it can be
		// kept.
		List<InstanceView> instances = this.membership.instances(now);
		List<InstanceView> known = this.view.instances();
		ServingState state = this.membership.servingState(now);
		if (state != this.view.state()) {
			logState(state, now);
		}
		this.view = new ClusterView(state, now, instances.equals(known) ? known : instances,
				this.membership.appliedRules());
		if (effects.woke()) {
			eventLog.warning("woke-from-freeze").with("instance", this.settings.instance()).write();
			this.transport.closeInbound();
		}
		effects.outgoing().forEach((outgoing) -> this.transport.send(outgoing.address(), outgoing.envelope()));
		effects.replications().forEach(this::replicated);
		if (effects.upstreams() != null) {
			List<UpstreamRecord> upstreams = effects.upstreams();
			eventLog.information("upstreams-changed").with("count", upstreams.size()).write();
			this.listeners.forEach((listener) -> listener.upstreamsChanged(upstreams));
		}
		if (effects.rules() != null) {
			RuleFile rules = effects.rules();
			eventLog.information("rules-in-force").with("revision", rules.getRevision()).write();
			this.listeners.forEach((listener) -> listener.rulesChanged(rules));
		}
	}

	private void logState(ServingState state, long now) {
		eventLog.information("state-changed")
			.with("from", this.view.state().wireName())
			.with("to", state.wireName())
			.with("revision", this.membership.appliedRules().getRevision())
			.with("live", this.membership.liveInstances(now))
			.with("expected", this.membership.expectedInstances())
			.with("rules-confirmed", this.membership.isRulesConfirmed())
			.with("upstreams-learned", this.membership.isUpstreamsLearned())
			.write();
	}

	/**
	 * Returns the replica of this instance.
	 * @return its descriptor, with identity zero without the control role
	 */
	public ReplicaDescriptor replica() {
		return this.replica;
	}

	/**
	 * Takes in an announcement of an upstream.
	 * @param announcement the announcement
	 * @return whether it was not older than what was known, once enough instances hold
	 * it; a failure with an {@link UnconfirmedChangeException} if too few do in time
	 */
	public CompletableFuture<Boolean> announce(Announcement announcement) {
		return confirm(() -> this.membership.announce(announcement, now()));
	}

	/**
	 * Takes in the word of an upstream that it leaves for good.
	 * @param name the name of the upstream
	 * @param incarnation the incarnation that leaves, or zero if the upstream did not say
	 * @return whether the word was not older than what was known, once enough instances
	 * hold it; a failure with an {@link UnconfirmedChangeException} if too few do in
	 * time, or if the upstream is not known here
	 */
	public CompletableFuture<Boolean> withdraw(String name, long incarnation) {
		return confirm(() -> this.membership.withdraw(name, incarnation, now())
			.orElseThrow(() -> new UnconfirmedChangeException("Upstream '" + name + "' is not known here.")));
	}

	private CompletableFuture<Boolean> confirm(Supplier<AnnouncementOutcome> event) {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.loop.execute(() -> step(() -> {
			try {
				AnnouncementOutcome outcome = event.get();
				if (outcome.replication() == 0) {
					result.complete(outcome.current());
				}
				else {
					this.replications.computeIfAbsent(outcome.replication(), (id) -> new ArrayList<>()).add(result);
				}
			}
			catch (UnconfirmedChangeException ex) {
				result.completeExceptionally(ex);
			}
		}));
		return result;
	}

	private void replicated(ReplicationResult ended) {
		for (CompletableFuture<Boolean> waiting : this.replications.getOrDefault(ended.id(), List.of())) {
			if (ended.held()) {
				waiting.complete(true);
			}
			else {
				waiting.completeExceptionally(
						new UnconfirmedChangeException("Too few control instances confirmed the change in time."));
			}
		}
		this.replications.remove(ended.id());
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
	 * Counts the instances that have applied a revision.
	 * @param revision the revision
	 * @return the count and the number of all instances
	 */
	public CompletableFuture<RulePropagation> rulePropagation(long revision) {
		CompletableFuture<RulePropagation> result = new CompletableFuture<>();
		this.loop.execute(() -> result.complete(new RulePropagation(this.membership.countApplied(revision, now()),
				this.membership.liveInstances(now()), this.membership.expectedInstances())));
		return result;
	}

	/**
	 * Offers rules that are committed.
	 * @param rules the rules
	 */
	public void offerRules(RuleFile rules) {
		this.loop.execute(() -> step(() -> this.membership.offerRules(rules)));
	}

	/**
	 * Learns the rules from a quorum of the control group.
	 * @param rules the rules
	 */
	public void confirmRules(RuleFile rules) {
		this.loop.execute(() -> step(() -> this.membership.confirmRules(rules)));
	}

	/**
	 * Returns whether this instance has yet to confirm the rules in force.
	 * @return whether to ask the control group
	 */
	public boolean needsRuleConfirmation() {
		ClusterView current = this.view;
		boolean confirmed = current.state() == ServingState.READY && current.hasRules();
		return !confirmed && current.state() != ServingState.STOPPING;
	}

	/**
	 * Returns what was known a moment ago.
	 * @return the view
	 */
	public ClusterView view() {
		return this.view;
	}

	/**
	 * Returns whether this instance may take new work now.
	 * @return the state
	 */
	public ServingState servingState() {
		ClusterView current = this.view;
		// A view that nobody renewed is the mark of a process that was frozen.
		boolean stale = now() - current.madeAtMillis() > ClusterView.STALE_MILLIS;
		return (stale && current.state() == ServingState.READY) ? ServingState.ISOLATED : current.state();
	}

	/**
	 * Returns the peer addresses of control instances.
	 * @return the addresses, live ones first
	 */
	public List<String> controlInstanceAddresses() {
		List<String> known = this.view.instances()
			.stream()
			.filter((instance) -> instance.instance().getControl() && !instance.instance().getLeaving())
			.sorted((left, right) -> Boolean.compare(right.live(), left.live()))
			.map((instance) -> instance.instance().getPeerAddress())
			.toList();
		// An instance that starts knows nobody yet; seeds are often control instances.
		return known.isEmpty() ? this.settings.seeds() : known;
	}

	/**
	 * Returns the present peer address of a replica.
	 * @param id the identity of the replica
	 * @return the address, if the instance is known
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
	 * Tells the others that this instance takes no new work.
	 */
	public void leave() {
		this.loop.execute(() -> step(() -> this.membership.leave(now())));
	}

	@Override
	public void stop() {
		this.loop.stop();
	}

}
