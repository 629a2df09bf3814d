package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
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
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.History;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.NotLeader;
import org.radishthread.protocol.Refused;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RulePart;
import org.radishthread.protocol.Snapshot;

/**
 * Serves the requests to one control instance: combines a replica of the log with the
 * state machine of the control group. Performs no I/O and uses no thread or clock; the
 * {@link ControlReplicaDriver} executes its effects. Not thread-safe.
 */
public final class ControlReplica {

	private static final long MINIMUM_BYTES_BETWEEN_SNAPSHOTS = 256 * 1024;

	private final ReplicaDescriptor self;

	private final ReplicaSettings settings;

	private final Replica replica;

	private final ControlStateMachine stateMachine;

	private long appliedIndex;

	private long bytesSinceSnapshot;

	private long lastSnapshotBytes;

	private final Map<Long, PendingCommand> pendingCommands = new HashMap<>();

	private final Map<Long, PendingRead> pendingReads = new HashMap<>();

	private final List<PendingReplacement> pendingReplacements = new ArrayList<>();

	private final Set<Long> unacknowledgedBootstrapIds = new HashSet<>();

	private @Nullable PendingRequest pendingBootstrap;

	private long nextBootstrapRequestMillis;

	private long lastReadToken;

	private final List<Reply> replies = new ArrayList<>();

	private @Nullable RuleFile rulesToPublish;

	private long publishedRevision;

	private @Nullable Evacuations evacuationsToPublish;

	private long publishedEvacuationsVersion;

	public ControlReplica(ReplicaDescriptor self, ReplicaSettings settings, ClaimLimits limits,
			ElectionTimeoutSource timeouts, StoredLog storedLog) {
		this.self = self;
		this.settings = settings;
		this.replica = new Replica(self.getId(), settings, timeouts, storedLog);
		this.stateMachine = new ControlStateMachine(limits);
		this.stateMachine.restore(storedLog.snapshot().getState());
		this.appliedIndex = storedLog.snapshot().getIndex();
		markChangesForPublication();
	}

	public ReplicaRole role() {
		return this.replica.role();
	}

	Replica replica() {
		return this.replica;
	}

	/**
	 * Returns the rule file that this replica has applied. The leader may already have
	 * committed a later one.
	 * @return the rule file, with revision zero if there is none
	 */
	public RuleFile rules() {
		return this.stateMachine.rules().currentRules();
	}

	/**
	 * Returns the evacuations of availability zones that this replica has applied. The
	 * leader may already have committed a later order.
	 * @return the evacuations, with version zero if none was ever ordered
	 */
	public Evacuations evacuations() {
		return this.stateMachine.evacuations().evacuations();
	}

	/**
	 * Returns the address of a replica of this group.
	 * @param id the id of the replica
	 * @return the peer address, or empty if the replica is not a member
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
	 * Returns the replicas of which a majority accepts changes, as this replica has them
	 * in its log.
	 * @return the replicas, empty if this one belongs to no group
	 */
	public List<ReplicaDescriptor> voters() {
		return this.replica.log().configuration().getVotersList();
	}

	/**
	 * Returns the status of this replica for operators.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the status
	 */
	public ControlStatus status(long nowMillis) {
		return ControlStatus.newBuilder()
			.setReplica(this.self)
			.setRole(role().wireName())
			.setTerm(this.replica.term())
			.setCommitIndex(this.replica.commitIndex())
			.setSnapshotIndex(this.replica.log().snapshot().getIndex())
			.setClaims(this.stateMachine.claimCount())
			.setConfiguration(this.replica.log().configuration())
			.setGroup(this.replica.groupId())
			.setLeaderKnown(this.replica.hasLeader(nowMillis))
			.build();
	}

	/**
	 * Returns the leadership of the group as known to this replica.
	 * @return the role and term of this replica and the leader
	 */
	public Leadership leadership() {
		return new Leadership(role(), this.replica.term(), this.replica.leaderId());
	}

	/**
	 * Returns the latest time as of which this replica has committed all rules and
	 * evacuations that the group had accepted.
	 * @return the monotonic time, in milliseconds, very low if it is not known
	 */
	public long rulesCurrentAtMillis() {
		return this.replica.currentAtMillis();
	}

	/**
	 * Processes a message from another replica.
	 * @param message the message
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(AgreementMessage message, long nowMillis) {
		if (message.hasFoundingResponse() && message.getTo() == this.self.getId()) {
			recordBootstrapAcknowledgement(message.getFrom());
		}
		this.replica.receive(message, nowMillis);
	}

	/**
	 * Processes timeouts and sends due messages. Must be called regularly.
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void tick(long nowMillis) {
		this.replica.tick(nowMillis);
		if (!this.unacknowledgedBootstrapIds.isEmpty() && nowMillis >= this.nextBootstrapRequestMillis) {
			this.nextBootstrapRequestMillis = nowMillis + this.settings.heartbeatIntervalMillis();
			this.unacknowledgedBootstrapIds.forEach(this.replica::sendBootstrapRequest);
		}
	}

	/**
	 * Processes a request. The response is returned by a later call of {@link #drain}.
	 * @param requester identifies the sender of the request; returned with the response
	 * @param request the request
	 * @param nowMillis the monotonic time, in milliseconds
	 * @param wallClockMillis the wall-clock time, in milliseconds since the epoch
	 */
	public void handleRequest(String requester, ControlRequest request, long nowMillis, long wallClockMillis) {
		PendingRequest pendingRequest = new PendingRequest(requester, request.getId());
		switch (request.getBodyCase()) {
			case READ_STATUS -> reply(pendingRequest, ControlResponse.newBuilder().setStatus(status(nowMillis)));
			case INITIALIZE -> initialize(pendingRequest, request.getInitialize(), nowMillis);
			case COMMAND, READ_RULES, READ_HISTORY, REPLACE ->
				handleLeaderRequest(pendingRequest, request, nowMillis, wallClockMillis);
			default -> refuse(pendingRequest, "The request has no body that this version knows.");
		}
	}

	private void handleLeaderRequest(PendingRequest pendingRequest, ControlRequest request, long nowMillis,
			long wallClockMillis) {
		if (!this.replica.isReadyLeader()) {
			replyNotLeader(pendingRequest);
			return;
		}
		switch (request.getBodyCase()) {
			case COMMAND -> {
				long index = this.replica.propose(request.getCommand(), wallClockMillis);
				this.pendingCommands.put(index, new PendingCommand(pendingRequest, this.replica.term()));
			}
			case READ_RULES -> {
				this.lastReadToken++;
				this.pendingReads.put(this.lastReadToken,
						new PendingRead(pendingRequest, request.getReadRules().getPart()));
				this.replica.requestReadConfirmation(this.lastReadToken);
			}
			case READ_HISTORY -> reply(pendingRequest, ControlResponse.newBuilder()
				.setHistory(History.newBuilder()
					.addAllEntries(this.stateMachine.rules().latestRevisions(request.getReadHistory().getLimit()))));
			default -> addReplica(pendingRequest, request.getReplace().getAdded(), nowMillis);
		}
	}

	// Adds a replica as a learner. The replica becomes a voter when the group needs one.
	private void addReplica(PendingRequest pendingRequest, ReplicaDescriptor newReplica, long nowMillis) {
		Configuration configuration = this.replica.log().configuration();
		PendingReplacement pendingReplacement = new PendingReplacement(pendingRequest, newReplica.getId());
		if (ConfigurationChange.contains(configuration.getLearnersList(), newReplica.getId())
				|| isReplacing(configuration, newReplica.getId())) {
			this.pendingReplacements.add(pendingReplacement);
			completeReplacements(this.replica.log().configurationAt(this.replica.commitIndex()));
			return;
		}
		if (ConfigurationChange.contains(configuration.getVotersList(), newReplica.getId())) {
			refuse(pendingRequest, "Replica " + Long.toHexString(newReplica.getId()) + " of instance '"
					+ newReplica.getInstance()
					+ "' is a member already; nothing was changed. If its disk was just lost, ask again in a moment.");
			return;
		}
		Optional<ReplicaDescriptor> previousReplica = configuration.getVotersList()
			.stream()
			.filter((voter) -> voter.getInstance().equals(newReplica.getInstance()))
			.findFirst();
		if (!this.replica.canChangeConfiguration()
				|| (previousReplica.isPresent() && isReplacingOther(configuration, newReplica))) {
			refuse(pendingRequest, "Another change of the group is in progress; wait until it is done.");
			return;
		}
		this.pendingReplacements.add(pendingReplacement);
		previousReplica.ifPresentOrElse((voter) -> this.replica.beginReplacement(voter.getId(), newReplica, nowMillis),
				() -> this.replica.addLearner(newReplica, nowMillis));
	}

	private static boolean isReplacing(Configuration configuration, long addedId) {
		return configuration.hasReplacement() && configuration.getReplacement().getAdded().getId() == addedId;
	}

	// A disk that is lost again during its replacement is replaced once more.
	private static boolean isReplacingOther(Configuration configuration, ReplicaDescriptor newReplica) {
		return configuration.hasReplacement()
				&& !configuration.getReplacement().getAdded().getInstance().equals(newReplica.getInstance());
	}

	private void initialize(PendingRequest pendingRequest, Initialize request, long nowMillis) {
		Configuration configuration = Configuration.newBuilder()
			.addAllVoters(request.getReplicasList())
			.setFoundingVoters(request.getReplicasCount())
			.build();
		if (role() != ReplicaRole.UNFOUNDED) {
			boolean sameVoters = hasVoters(this.replica.log().snapshot().getConfiguration(), configuration)
					|| hasVoters(this.replica.log().configuration(), configuration);
			if (!sameVoters) {
				refuse(pendingRequest, "This instance already belongs to a control group; nothing was changed.");
				return;
			}
		}
		else {
			if (!ConfigurationChange.contains(request.getReplicasList(), this.self.getId())) {
				refuse(pendingRequest, "The replicas must include the instance that founds the group.");
				return;
			}
			this.replica.bootstrap(this.self.getId(), configuration, nowMillis);
		}
		request.getReplicasList()
			.forEach((replicaDescriptor) -> this.unacknowledgedBootstrapIds.add(replicaDescriptor.getId()));
		this.unacknowledgedBootstrapIds.remove(this.self.getId());
		this.nextBootstrapRequestMillis = nowMillis;
		this.pendingBootstrap = pendingRequest;
		recordBootstrapAcknowledgement(this.self.getId());
		tick(nowMillis);
	}

	private static boolean hasVoters(Configuration groupConfiguration, Configuration expectedConfiguration) {
		return groupConfiguration.getVotersList().equals(expectedConfiguration.getVotersList());
	}

	private void recordBootstrapAcknowledgement(long replicaId) {
		this.unacknowledgedBootstrapIds.remove(replicaId);
		if (this.unacknowledgedBootstrapIds.isEmpty() && this.pendingBootstrap != null) {
			reply(this.pendingBootstrap, ControlResponse.newBuilder().setDone(Done.getDefaultInstance()));
			this.pendingBootstrap = null;
		}
	}

	private void reply(PendingRequest pendingRequest, ControlResponse.Builder response) {
		this.replies.add(new Reply(pendingRequest.requester(), response.setId(pendingRequest.id()).build()));
	}

	private void refuse(PendingRequest pendingRequest, String reason) {
		reply(pendingRequest, ControlResponse.newBuilder().setRefused(Refused.newBuilder().setReason(reason)));
	}

	private void replyNotLeader(PendingRequest pendingRequest) {
		NotLeader.Builder notLeader = NotLeader.newBuilder().setReason(role().wireName());
		if (this.replica.leaderId() != this.self.getId()) {
			addressOf(this.replica.leaderId()).ifPresent(notLeader::setLeaderAddress);
		}
		reply(pendingRequest, ControlResponse.newBuilder().setNotLeader(notLeader));
	}

	/**
	 * Applies the committed entries, takes a snapshot if one is due, and returns and
	 * clears the pending effects.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the effects
	 */
	ControlReplicaEffects drain(long nowMillis) {
		ReplicaEffects effects = this.replica.drain(nowMillis);
		if (effects.installedSnapshot != null) {
			this.stateMachine.restore(effects.installedSnapshot.getState());
			this.appliedIndex = effects.installedSnapshot.getIndex();
			markChangesForPublication();
		}
		effects.committedEntries.forEach(this::apply);
		effects.confirmedReadTokens.forEach(this::completeRead);
		if (effects.leadershipLost) {
			redirectPendingRequests();
		}
		boolean rewriteLog = takeSnapshotIfDue() || effects.logRewriteRequired;
		StoredLog logContent = rewriteLog ? currentLogContent() : null;
		ControlReplicaEffects controlEffects = new ControlReplicaEffects(effects.logFrames, logContent,
				effects.immediateMessages, effects.messagesAfterSync, List.copyOf(this.replies), this.rulesToPublish,
				this.evacuationsToPublish);
		this.replies.clear();
		this.rulesToPublish = null;
		this.evacuationsToPublish = null;
		return controlEffects;
	}

	private StoredLog currentLogContent() {
		return new StoredLog(this.replica.hardState(), this.replica.log().snapshot(),
				this.replica.log().entriesAfterSnapshot());
	}

	/**
	 * Notifies this replica that all log writes drained so far are durable.
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	void onLogSynced(long nowMillis) {
		this.replica.onLogSynced(nowMillis);
	}

	private void apply(LogEntry entry) {
		this.appliedIndex = entry.getIndex();
		this.bytesSinceSnapshot += entry.getSerializedSize();
		PendingCommand pendingCommand = this.pendingCommands.remove(entry.getIndex());
		if (entry.hasConfiguration()) {
			completeReplacements(entry.getConfiguration());
			return;
		}
		if (!entry.hasCommand()) {
			return;
		}
		ControlResponse response = this.stateMachine.apply(entry);
		markChangesForPublication();
		if (pendingCommand != null && pendingCommand.term() == entry.getTerm()) {
			reply(pendingCommand.request(), response.toBuilder());
		}
		else if (pendingCommand != null) {
			replyNotLeader(pendingCommand.request());
		}
	}

	// A replica that is added without replacing a lost disk stands by as a learner.
	private void completeReplacements(Configuration committedConfiguration) {
		Iterator<PendingReplacement> iterator = this.pendingReplacements.iterator();
		while (iterator.hasNext()) {
			PendingReplacement pendingReplacement = iterator.next();
			long addedId = pendingReplacement.addedId();
			boolean member = ConfigurationChange.contains(committedConfiguration.getVotersList(), addedId)
					|| ConfigurationChange.contains(committedConfiguration.getLearnersList(), addedId);
			if (member && !isReplacing(committedConfiguration, addedId)) {
				iterator.remove();
				reply(pendingReplacement.request(), ControlResponse.newBuilder().setDone(Done.getDefaultInstance()));
			}
		}
	}

	private void completeRead(long token) {
		PendingRead pendingRead = this.pendingReads.remove(token);
		if (pendingRead != null) {
			ControlResponse.Builder response = ControlResponse.newBuilder()
				.setRuleFile(this.stateMachine.rules().readPart(pendingRead.part()));
			if (this.stateMachine.evacuations().version() > 0) {
				response.setEvacuations(evacuations());
			}
			reply(pendingRead.request(), response);
		}
	}

	private void redirectPendingRequests() {
		this.pendingCommands.values().forEach((pendingCommand) -> replyNotLeader(pendingCommand.request()));
		this.pendingCommands.clear();
		this.pendingReads.values().forEach((pendingRead) -> replyNotLeader(pendingRead.request()));
		this.pendingReads.clear();
		this.pendingReplacements.forEach((pendingReplacement) -> replyNotLeader(pendingReplacement.request()));
		this.pendingReplacements.clear();
	}

	private boolean takeSnapshotIfDue() {
		long entryCount = this.appliedIndex - this.replica.log().snapshot().getIndex();
		boolean entryLimitReached = entryCount >= this.settings.entriesBetweenSnapshots()
				+ this.stateMachine.recordCount();
		boolean byteLimitReached = this.bytesSinceSnapshot >= Math.max(MINIMUM_BYTES_BETWEEN_SNAPSHOTS,
				this.lastSnapshotBytes);
		if (!entryLimitReached && !byteLimitReached) {
			return false;
		}
		this.replica.compact(Snapshot.newBuilder()
			.setIndex(this.appliedIndex)
			.setTerm(this.replica.log().termAt(this.appliedIndex))
			.setConfiguration(this.replica.log().configurationAt(this.appliedIndex))
			.setState(this.stateMachine.createSnapshot())
			.build());
		this.bytesSinceSnapshot = 0;
		this.lastSnapshotBytes = this.replica.log().snapshot().getSerializedSize();
		return true;
	}

	private void markChangesForPublication() {
		if (rules().getRevision() > this.publishedRevision) {
			this.publishedRevision = rules().getRevision();
			this.rulesToPublish = rules();
		}
		if (this.stateMachine.evacuations().version() > this.publishedEvacuationsVersion) {
			this.publishedEvacuationsVersion = this.stateMachine.evacuations().version();
			this.evacuationsToPublish = evacuations();
		}
	}

	record Reply(String requester, ControlResponse response) {
	}

	private record PendingRequest(String requester, long id) {
	}

	private record PendingRead(PendingRequest request, RulePart part) {
	}

	private record PendingReplacement(PendingRequest request, long addedId) {
	}

	private record PendingCommand(PendingRequest request, long term) {
	}

}
