package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ControlStatus;
import org.radishthread.protocol.Done;
import org.radishthread.protocol.History;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.NotLeader;
import org.radishthread.protocol.Refused;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.Snapshot;

/**
 * One control instance: a replica and its state machine, answering requests. It is a
 * state machine without threads, clocks or input and output of its own; the
 * {@link ControlReplicaDriver} carries out its effects.
 */
public final class ControlReplica {

	private static final long MINIMUM_BYTES_BETWEEN_SNAPSHOTS = 256 * 1024;

	// Longer than restarts and elections take.
	private static final long REPLACEABLE_SILENCE_MILLIS = 8_000;

	private static final int MAXIMUM_VOTERS = 7;

	private final ReplicaDescriptor self;

	private final ReplicaSettings settings;

	private final Replica replica;

	private final ControlState state;

	private long appliedIndex;

	private long bytesSinceSnapshot;

	private long snapshotBytes;

	private final Map<Long, PendingCommand> pendingCommands = new HashMap<>();

	private final Map<Long, PendingRequest> pendingReads = new HashMap<>();

	private final List<PendingRequest> pendingReplacements = new ArrayList<>();

	private final Set<Long> unansweredFoundings = new HashSet<>();

	private @Nullable PendingRequest pendingFounding;

	private long nextFoundingMillis;

	private long lastReadToken;

	private final List<Reply> replies = new ArrayList<>();

	private @Nullable RuleFile appliedRules;

	private long publishedRevision;

	public ControlReplica(ReplicaDescriptor self, ReplicaSettings settings, ClaimLimits limits,
			ElectionTimeoutSource timeouts, StoredLog stored) {
		this.self = self;
		this.settings = settings;
		this.replica = new Replica(self.getId(), settings, timeouts, stored);
		this.state = new ControlState(limits);
		this.state.restore(stored.snapshot().getState());
		this.appliedIndex = stored.snapshot().getIndex();
		publishRules();
	}

	public ReplicaRole role() {
		return this.replica.role();
	}

	Replica replica() {
		return this.replica;
	}

	/**
	 * Returns the rules committed as far as this replica knows.
	 * @return the rules, with revision zero if there are none
	 */
	public RuleFile rules() {
		return this.state.rules().current();
	}

	/**
	 * Returns the address of a replica of this group.
	 * @param id the identity of the replica
	 * @return the address, if the replica is known
	 */
	public Optional<String> addressOf(long id) {
		Configuration configuration = this.replica.log().configuration();
		return java.util.stream.Stream
			.concat(configuration.getVotersList().stream(), configuration.getLearnersList().stream())
			.filter((descriptor) -> descriptor.getId() == id)
			.map(ReplicaDescriptor::getAddress)
			.findFirst();
	}

	/**
	 * Returns what operators see of this replica.
	 * @param now the monotonic time, in milliseconds
	 * @return the status
	 */
	public ControlStatus status(long now) {
		return ControlStatus.newBuilder()
			.setReplica(this.self)
			.setRole(role().wireName())
			.setTerm(this.replica.term())
			.setCommitIndex(this.replica.commitIndex())
			.setSnapshotIndex(this.replica.log().snapshot().getIndex())
			.setClaims(this.state.claimCount())
			.setConfiguration(this.replica.log().configuration())
			.setGroup(this.replica.group())
			.setLeaderKnown(this.replica.hasLeader(now))
			.build();
	}

	/**
	 * Returns what this replica believes of the leadership of its group.
	 * @return role, term and leader
	 */
	public Leadership leadership() {
		return new Leadership(role(), this.replica.term(), this.replica.leader());
	}

	/**
	 * Takes in a message of another replica.
	 * @param message the message
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(AgreementMessage message, long now) {
		if (message.hasFoundingResponse() && message.getTo() == this.self.getId()) {
			foundingAnswered(message.getFrom());
		}
		this.replica.receive(message, now);
	}

	/**
	 * Lets time pass.
	 * @param now the monotonic time, in milliseconds
	 */
	public void tick(long now) {
		this.replica.tick(now);
		if (!this.unansweredFoundings.isEmpty() && now >= this.nextFoundingMillis) {
			this.nextFoundingMillis = now + this.settings.heartbeatMillis();
			this.unansweredFoundings.forEach(this.replica::sendFoundingRequest);
		}
	}

	/**
	 * Takes in a request; the answer comes as an effect.
	 * @param origin who asks, handed back with the answer
	 * @param request the request
	 * @param now the monotonic time, in milliseconds
	 * @param wallClockMillis the calendar time, in milliseconds since 1970
	 */
	public void handleRequest(String origin, ControlRequest request, long now, long wallClockMillis) {
		PendingRequest pending = new PendingRequest(origin, request.getId());
		switch (request.getBodyCase()) {
			case READ_STATUS -> reply(pending, ControlResponse.newBuilder().setStatus(status(now)));
			case INITIALIZE -> initialize(pending, request.getInitialize(), now);
			case COMMAND, READ_RULES, READ_HISTORY, REPLACE -> requestLeader(pending, request, now, wallClockMillis);
			default -> refuse(pending, "The request has no body that this version knows.");
		}
	}

	private void requestLeader(PendingRequest pending, ControlRequest request, long now, long wallClockMillis) {
		if (!this.replica.isReadyLeader()) {
			replyNotLeader(pending);
			return;
		}
		switch (request.getBodyCase()) {
			case COMMAND -> {
				long index = this.replica.propose(request.getCommand(), wallClockMillis);
				this.pendingCommands.put(index, new PendingCommand(pending, this.replica.term()));
			}
			case READ_RULES -> {
				this.lastReadToken++;
				this.pendingReads.put(this.lastReadToken, pending);
				this.replica.confirmRead(this.lastReadToken);
			}
			case READ_HISTORY -> reply(pending,
					ControlResponse.newBuilder()
						.setHistory(History.newBuilder()
							.addAllEntries(this.state.rules().latest(request.getReadHistory().getLimit()))));
			default -> replace(pending, request.getReplace().getAdded(), now);
		}
	}

	private void replace(PendingRequest pending, ReplicaDescriptor added, long now) {
		Configuration configuration = this.replica.log().configuration();
		if (ConfigurationChange.contains(configuration.getVotersList(), added.getId())
				&& !configuration.hasReplacement()) {
			refuse(pending, "Replica " + Long.toHexString(added.getId()) + " of instance '" + added.getInstance()
					+ "' is a member already; nothing was changed. If its disk was just lost, ask again in a moment.");
			return;
		}
		if (configuration.hasReplacement() && configuration.getReplacement().getAdded().getId() == added.getId()) {
			this.pendingReplacements.add(pending);
			return;
		}
		Optional<ReplicaDescriptor> removed = replacedBy(added, configuration, now);
		if (removed.isEmpty()) {
			refuse(pending, "No control replica of instance '" + added.getInstance() + "' exists to be replaced, and "
					+ "the group has its greatest size.");
		}
		else if (configuration.hasReplacement() || !this.replica.mayChangeConfiguration()) {
			refuse(pending, "Another replacement is in progress; wait until it is done.");
		}
		else {
			this.pendingReplacements.add(pending);
			this.replica.beginReplacement(removed.get().getId(), added, now);
		}
	}

	// The former replica of the same instance, else one that is silent, else none
	// while the group may grow.
	private Optional<ReplicaDescriptor> replacedBy(ReplicaDescriptor added, Configuration configuration, long now) {
		Optional<ReplicaDescriptor> former = configuration.getVotersList()
			.stream()
			.filter((voter) -> voter.getInstance().equals(added.getInstance()))
			.findFirst();
		Optional<ReplicaDescriptor> silent = configuration.getVotersList()
			.stream()
			.filter((voter) -> this.replica.isSilent(voter.getId(), now - REPLACEABLE_SILENCE_MILLIS))
			.findFirst();
		boolean mayGrow = configuration.getVotersCount() < MAXIMUM_VOTERS;
		return former.or(() -> silent)
			.or(() -> mayGrow ? Optional.of(ReplicaDescriptor.getDefaultInstance()) : Optional.empty());
	}

	private void initialize(PendingRequest pending, Initialize request, long now) {
		Configuration configuration = Configuration.newBuilder().addAllVoters(request.getReplicasList()).build();
		if (role() != ReplicaRole.UNFOUNDED) {
			boolean same = this.replica.log().snapshot().getConfiguration().equals(configuration)
					|| this.replica.log().configuration().equals(configuration);
			if (!same) {
				refuse(pending, "This instance already belongs to a control group; nothing was changed.");
				return;
			}
		}
		else {
			if (!ConfigurationChange.contains(request.getReplicasList(), this.self.getId())) {
				refuse(pending, "The replicas must include the instance that founds the group.");
				return;
			}
			this.replica.found(this.self.getId(), configuration, now);
		}
		request.getReplicasList()
			.forEach((replicaDescriptor) -> this.unansweredFoundings.add(replicaDescriptor.getId()));
		this.unansweredFoundings.remove(this.self.getId());
		this.nextFoundingMillis = now;
		this.pendingFounding = pending;
		foundingAnswered(this.self.getId());
		tick(now);
	}

	private void foundingAnswered(long from) {
		this.unansweredFoundings.remove(from);
		if (this.unansweredFoundings.isEmpty() && this.pendingFounding != null) {
			reply(this.pendingFounding, ControlResponse.newBuilder().setDone(Done.getDefaultInstance()));
			this.pendingFounding = null;
		}
	}

	private void reply(PendingRequest pending, ControlResponse.Builder response) {
		this.replies.add(new Reply(pending.origin(), response.setId(pending.id()).build()));
	}

	private void refuse(PendingRequest pending, String reason) {
		reply(pending, ControlResponse.newBuilder().setRefused(Refused.newBuilder().setReason(reason)));
	}

	private void replyNotLeader(PendingRequest pending) {
		NotLeader.Builder notLeader = NotLeader.newBuilder().setReason(role().wireName());
		if (this.replica.leader() != this.self.getId()) {
			addressOf(this.replica.leader()).ifPresent(notLeader::setLeaderAddress);
		}
		reply(pending, ControlResponse.newBuilder().setNotLeader(notLeader));
	}

	/**
	 * Hands over what is to be done since the last call.
	 * @param now the monotonic time, in milliseconds
	 * @return the effects
	 */
	ControlReplicaEffects drain(long now) {
		ReplicaEffects effects = this.replica.drain(now);
		if (effects.installed != null) {
			this.state.restore(effects.installed.getState());
			this.appliedIndex = effects.installed.getIndex();
			publishRules();
		}
		effects.committed.forEach(this::apply);
		effects.confirmedReads.forEach(this::confirmRead);
		if (effects.leadershipLost) {
			abandonPending();
		}
		boolean rewrite = takeSnapshotIfDue() || effects.rewriteLog;
		StoredLog content = rewrite ? storedLog() : null;
		ControlReplicaEffects result = new ControlReplicaEffects(effects.frames, content, effects.immediate,
				effects.afterSync, List.copyOf(this.replies), this.appliedRules);
		this.replies.clear();
		this.appliedRules = null;
		return result;
	}

	private StoredLog storedLog() {
		return new StoredLog(this.replica.hardState(), this.replica.log().snapshot(),
				this.replica.log().entriesAfterSnapshot());
	}

	/**
	 * Learns that all effects handed over so far are durable.
	 * @param now the monotonic time, in milliseconds
	 */
	void synced(long now) {
		this.replica.synced(now);
	}

	private void apply(LogEntry entry) {
		this.appliedIndex = entry.getIndex();
		this.bytesSinceSnapshot += entry.getSerializedSize();
		PendingCommand pending = this.pendingCommands.remove(entry.getIndex());
		if (entry.hasConfiguration()) {
			configurationApplied(entry.getConfiguration());
			return;
		}
		if (!entry.hasCommand()) {
			return;
		}
		ControlResponse response = this.state.apply(entry);
		publishRules();
		if (pending != null && pending.term() == entry.getTerm()) {
			reply(pending.request(), response.toBuilder());
		}
		else if (pending != null) {
			replyNotLeader(pending.request());
		}
	}

	private void configurationApplied(Configuration configuration) {
		if (configuration.hasReplacement()) {
			return;
		}
		this.pendingReplacements
			.forEach((pending) -> reply(pending, ControlResponse.newBuilder().setDone(Done.getDefaultInstance())));
		this.pendingReplacements.clear();
	}

	private void confirmRead(long token) {
		PendingRequest pending = this.pendingReads.remove(token);
		if (pending != null) {
			reply(pending, ControlResponse.newBuilder().setRuleFile(rules()));
		}
	}

	private void abandonPending() {
		this.pendingCommands.values().forEach((pending) -> replyNotLeader(pending.request()));
		this.pendingCommands.clear();
		this.pendingReads.values().forEach(this::replyNotLeader);
		this.pendingReads.clear();
		this.pendingReplacements.forEach(this::replyNotLeader);
		this.pendingReplacements.clear();
	}

	private boolean takeSnapshotIfDue() {
		long entries = this.appliedIndex - this.replica.log().snapshot().getIndex();
		boolean many = entries >= this.settings.entriesBetweenSnapshots() + this.state.size();
		boolean large = this.bytesSinceSnapshot >= Math.max(MINIMUM_BYTES_BETWEEN_SNAPSHOTS, this.snapshotBytes);
		if (!many && !large) {
			return false;
		}
		this.replica.compact(Snapshot.newBuilder()
			.setIndex(this.appliedIndex)
			.setTerm(this.replica.log().termAt(this.appliedIndex))
			.setConfiguration(this.replica.log().configurationAt(this.appliedIndex))
			.setState(this.state.save())
			.build());
		this.bytesSinceSnapshot = 0;
		this.snapshotBytes = this.replica.log().snapshot().getSerializedSize();
		return true;
	}

	private void publishRules() {
		if (rules().getRevision() > this.publishedRevision) {
			this.publishedRevision = rules().getRevision();
			this.appliedRules = rules();
		}
	}

	record Reply(String origin, ControlResponse response) {
	}

	private record PendingRequest(String origin, long id) {
	}

	private record PendingCommand(PendingRequest request, long term) {
	}

}
