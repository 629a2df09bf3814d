package org.radishthread.agreement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;

import org.radishthread.kernel.Assert;
import org.radishthread.kernel.Freshness;
import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.AppendRequest;
import org.radishthread.protocol.AppendResponse;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.FoundingRequest;
import org.radishthread.protocol.FoundingResponse;
import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.Snapshot;
import org.radishthread.protocol.VoteRequest;
import org.radishthread.protocol.VoteResponse;

/**
 * Implements one member of a replicated log with the Raft consensus algorithm (Ongaro and
 * Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), including
 * pre-vote, check quorum, read index and learners. Performs no I/O and uses no thread or
 * clock: the surrounding code passes in messages and the monotonic time, and executes the
 * {@link ReplicaEffects} returned by {@link #drain}. Not thread-safe.
 */
final class Replica {

	// Stands for no replica and for no group.
	private static final long NO_ID = 0;

	private static final long NEVER = Long.MIN_VALUE / 2;

	// A fifth of the election timeout still covers many round
	// trips between availability zones.
	private static final int INITIAL_TIMEOUT_DIVISOR = 5;

	// Replicas that are starting up respond slowly, because class loading
	// competes for the processor.
	private static final int RETRY_TIMEOUT_DIVISOR = 2;

	private final long id;

	private final ReplicaSettings settings;

	private final ElectionTimeoutSource electionTimeouts;

	private final ReplicaLog log;

	private ReplicaEffects effects = new ReplicaEffects();

	private ReplicaRole role;

	private long groupId;

	private long term;

	private long votedFor;

	private long leaderId = NO_ID;

	private long commitIndex;

	// The index of the last entry that is durable in the log of this replica.
	private long durableIndex;

	private long electionDeadlineMillis = Long.MIN_VALUE;

	private long lastLeaderContactMillis = NEVER;

	// As of when this replica knows every entry that the group has committed. A quorum
	// confirms the rounds of a leader, as for a read index (Raft, section 8). A later
	// request of the leader confirms the responses of a follower, which have the numbers
	// of their rounds.
	private final Freshness commitFreshness = new Freshness();

	private boolean electionAttempted;

	private final Set<Long> receivedVotes = new HashSet<>();

	private final FollowerTable followers = new FollowerTable();

	private long nextHeartbeatMillis;

	// The index of the first entry that this replica appended as the leader
	// of the current term.
	private long termStartIndex;

	private boolean broadcastPending;

	Replica(long id, ReplicaSettings settings, ElectionTimeoutSource electionTimeouts, StoredLog storedLog) {
		Assert.isTrue(id != NO_ID, "Replica id must not be zero.");
		this.id = id;
		this.settings = settings;
		this.electionTimeouts = electionTimeouts;
		this.log = new ReplicaLog(storedLog.snapshot(), storedLog.entries());
		this.groupId = storedLog.hardState().getGroup();
		this.term = storedLog.hardState().getTerm();
		this.votedFor = storedLog.hardState().getVotedFor();
		this.commitIndex = storedLog.snapshot().getIndex();
		this.durableIndex = this.log.lastIndex();
		this.role = (this.groupId == NO_ID) ? ReplicaRole.UNFOUNDED : ReplicaRole.FOLLOWER;
	}

	long id() {
		return this.id;
	}

	ReplicaRole role() {
		return this.role;
	}

	long groupId() {
		return this.groupId;
	}

	long term() {
		return this.term;
	}

	long leaderId() {
		return this.leaderId;
	}

	long commitIndex() {
		return this.commitIndex;
	}

	// Returns the latest time as of which every entry that the group had committed is
	// committed here, or a very low value.
	long currentAtMillis() {
		return this.commitFreshness.currentAtMillis();
	}

	ReplicaLog log() {
		return this.log;
	}

	HardState hardState() {
		return HardState.newBuilder().setTerm(this.term).setVotedFor(this.votedFor).setGroup(this.groupId).build();
	}

	// Returns and clears the pending effects, including the append requests for
	// entries batched since the last call.
	ReplicaEffects drain(long nowMillis) {
		if (this.role == ReplicaRole.LEADER && this.broadcastPending) {
			broadcast(nowMillis);
		}
		ReplicaEffects drainedEffects = this.effects;
		this.effects = new ReplicaEffects();
		return drainedEffects;
	}

	// Notifies this replica that all log writes drained so far are durable.
	void onLogSynced(long nowMillis) {
		this.durableIndex = this.log.lastIndex();
		if (this.role == ReplicaRole.LEADER) {
			advanceCommit(nowMillis);
		}
	}

	void tick(long nowMillis) {
		switch (this.role) {
			case UNFOUNDED -> {
				return;
			}
			case LEADER -> tickLeader(nowMillis);
			default -> tickFollower(nowMillis);
		}
	}

	private void tickLeader(long nowMillis) {
		if (!hasQuorum((id) -> respondedRecently(id, nowMillis))) {
			becomeFollower(this.term, NO_ID, nowMillis);
			return;
		}
		advanceReplacement(nowMillis);
		if (nowMillis >= this.nextHeartbeatMillis) {
			broadcast(nowMillis);
		}
	}

	private boolean respondedRecently(long id, long nowMillis) {
		return id == this.id || this.followers.respondedSince(id, nowMillis - this.settings.electionTimeoutMillis());
	}

	private void tickFollower(long nowMillis) {
		if (this.electionDeadlineMillis == Long.MIN_VALUE) {
			scheduleElection(nowMillis);
		}
		if (nowMillis >= this.electionDeadlineMillis && isVoter(this.id)) {
			startPreVote(nowMillis);
		}
	}

	// Shortens the timeout until the first contact with a leader. Before it, there is
	// no leader that may only be unreachable for a moment and is worth waiting for.
	// This does not disrupt a live leader: its followers ignore pre-vote requests.
	// Further attempts wait longer, because other replicas respond slowly while they
	// are starting up.
	private void scheduleElection(long nowMillis) {
		long timeoutMillis = this.settings.electionTimeoutMillis();
		if (this.lastLeaderContactMillis == NEVER) {
			timeoutMillis /= this.electionAttempted ? RETRY_TIMEOUT_DIVISOR : INITIAL_TIMEOUT_DIVISOR;
		}
		this.electionDeadlineMillis = nowMillis + this.electionTimeouts.nextMillis(timeoutMillis);
	}

	private boolean isVoter(long id) {
		return ConfigurationChange.contains(this.log.configuration().getVotersList(), id);
	}

	private boolean hasQuorum(LongPredicate condition) {
		List<ReplicaDescriptor> voters = this.log.configuration().getVotersList();
		long matchingVoters = voters.stream().filter((voter) -> condition.test(voter.getId())).count();
		return 2 * matchingVoters > voters.size();
	}

	// Creates a group with this replica as a member.
	void bootstrap(long newGroupId, Configuration configuration, long nowMillis) {
		Assert.state(this.role == ReplicaRole.UNFOUNDED,
				"A replica that already belongs to a group must not bootstrap one.");
		this.groupId = newGroupId;
		this.term = 1;
		this.log.install(Snapshot.newBuilder().setIndex(1).setTerm(1).setConfiguration(configuration).build());
		this.commitIndex = 1;
		this.role = ReplicaRole.FOLLOWER;
		this.effects.logRewriteRequired = true;
		scheduleElection(nowMillis);
	}

	void sendBootstrapRequest(long receiverId) {
		FoundingRequest request = FoundingRequest.newBuilder().setConfiguration(this.log.configuration()).build();
		this.effects.messagesAfterSync.add(newMessage(receiverId).setFoundingRequest(request).build());
	}

	private void receiveAsNonMember(AgreementMessage message, long nowMillis) {
		switch (message.getBodyCase()) {
			case FOUNDING_REQUEST -> {
				Configuration configuration = message.getFoundingRequest().getConfiguration();
				if (ConfigurationChange.contains(configuration.getVotersList(), this.id)) {
					bootstrap(message.getGroup(), configuration, nowMillis);
					acknowledgeBootstrap(message.getFrom());
				}
			}
			case SNAPSHOT -> {
				this.groupId = message.getGroup();
				this.role = ReplicaRole.FOLLOWER;
				receiveAsMember(message, nowMillis);
			}
			case APPEND_REQUEST -> {
				// Reports an empty log, so that the leader sends its snapshot.
				AppendResponse emptyLogResponse = AppendResponse.newBuilder().setSuccess(false).setIndex(0).build();
				this.effects.messagesAfterSync.add(AgreementMessage.newBuilder()
					.setGroup(message.getGroup())
					.setFrom(this.id)
					.setTo(message.getFrom())
					.setTerm(message.getTerm())
					.setAppendResponse(emptyLogResponse)
					.build());
			}
			default -> {
				return;
			}
		}
	}

	private void acknowledgeBootstrap(long receiverId) {
		this.effects.messagesAfterSync
			.add(newMessage(receiverId).setFoundingResponse(FoundingResponse.getDefaultInstance()).build());
	}

	void receive(AgreementMessage message, long nowMillis) {
		if (message.getTo() != this.id) {
			return;
		}
		if (this.role == ReplicaRole.UNFOUNDED) {
			receiveAsNonMember(message, nowMillis);
		}
		else if (message.getGroup() == this.groupId) {
			receiveAsMember(message, nowMillis);
		}
	}

	private void receiveAsMember(AgreementMessage message, long nowMillis) {
		switch (message.getBodyCase()) {
			case VOTE_REQUEST -> receiveVoteRequest(message, nowMillis);
			case VOTE_RESPONSE -> receiveVoteResponse(message, nowMillis);
			case APPEND_REQUEST, SNAPSHOT -> receiveFromLeader(message, nowMillis);
			case APPEND_RESPONSE -> receiveAppendResponse(message, nowMillis);
			case FOUNDING_REQUEST -> acknowledgeBootstrap(message.getFrom());
			default -> {
				return;
			}
		}
	}

	private AgreementMessage.Builder newMessage(long receiverId) {
		return AgreementMessage.newBuilder()
			.setGroup(this.groupId)
			.setFrom(this.id)
			.setTo(receiverId)
			.setTerm(this.term);
	}

	private void persistHardState() {
		this.effects.logFrames.add(LogFrame.newBuilder().setHardState(hardState()).build());
	}

	private void becomeFollower(long newTerm, long newLeaderId, long nowMillis) {
		if (this.role == ReplicaRole.LEADER) {
			this.effects.leadershipLost = true;
			this.followers.clear();
		}
		if (newTerm > this.term) {
			this.term = newTerm;
			this.votedFor = NO_ID;
			persistHardState();
		}
		this.commitFreshness.forgetSent();
		this.role = ReplicaRole.FOLLOWER;
		this.leaderId = newLeaderId;
		scheduleElection(nowMillis);
	}

	private void startPreVote(long nowMillis) {
		this.role = ReplicaRole.PRE_CANDIDATE;
		this.leaderId = NO_ID;
		this.receivedVotes.clear();
		this.receivedVotes.add(this.id);
		this.electionAttempted = true;
		scheduleElection(nowMillis);
		if (hasQuorum(this.receivedVotes::contains)) {
			startElection(nowMillis);
			return;
		}
		requestVotes(true, this.term + 1);
		resendBootstrapRequests();
	}

	// Repeats the bootstrap request to all members, because the replica that
	// created the group may have stopped before all of them received it.
	private void resendBootstrapRequests() {
		if (this.log.lastIndex() > 1) {
			return;
		}
		this.log.configuration()
			.getVotersList()
			.stream()
			.map(ReplicaDescriptor::getId)
			.filter((id) -> id != this.id)
			.forEach(this::sendBootstrapRequest);
	}

	private void startElection(long nowMillis) {
		this.role = ReplicaRole.CANDIDATE;
		this.term++;
		this.votedFor = this.id;
		persistHardState();
		this.receivedVotes.clear();
		this.receivedVotes.add(this.id);
		scheduleElection(nowMillis);
		if (hasQuorum(this.receivedVotes::contains)) {
			becomeLeader(nowMillis);
			return;
		}
		requestVotes(false, this.term);
	}

	private void requestVotes(boolean preVote, long requestedTerm) {
		VoteRequest request = VoteRequest.newBuilder()
			.setPreVote(preVote)
			.setLastIndex(this.log.lastIndex())
			.setLastTerm(this.log.lastTerm())
			.build();
		for (ReplicaDescriptor voter : this.log.configuration().getVotersList()) {
			if (voter.getId() != this.id) {
				this.effects.messagesAfterSync
					.add(newMessage(voter.getId()).setTerm(requestedTerm).setVoteRequest(request).build());
			}
		}
	}

	private void receiveVoteRequest(AgreementMessage message, long nowMillis) {
		VoteRequest request = message.getVoteRequest();
		if (hasLiveLeader(nowMillis)) {
			return;
		}
		if (request.getPreVote()) {
			boolean granted = message.getTerm() > this.term && isLogUpToDate(request);
			respondToVoteRequest(message, granted, granted ? message.getTerm() : this.term);
			return;
		}
		if (message.getTerm() > this.term) {
			becomeFollower(message.getTerm(), NO_ID, nowMillis);
		}
		boolean canVote = this.votedFor == NO_ID || this.votedFor == message.getFrom();
		boolean granted = message.getTerm() == this.term && canVote && isLogUpToDate(request);
		if (granted && this.votedFor == NO_ID) {
			this.votedFor = message.getFrom();
			persistHardState();
		}
		if (granted) {
			scheduleElection(nowMillis);
		}
		respondToVoteRequest(message, granted, this.term);
	}

	private boolean hasLiveLeader(long nowMillis) {
		if (this.role == ReplicaRole.LEADER) {
			return true;
		}
		return this.leaderId != NO_ID
				&& nowMillis - this.lastLeaderContactMillis < this.settings.electionTimeoutMillis();
	}

	private boolean isLogUpToDate(VoteRequest request) {
		if (request.getLastTerm() != this.log.lastTerm()) {
			return request.getLastTerm() > this.log.lastTerm();
		}
		return request.getLastIndex() >= this.log.lastIndex();
	}

	private void respondToVoteRequest(AgreementMessage message, boolean granted, long responseTerm) {
		VoteResponse response = VoteResponse.newBuilder()
			.setPreVote(message.getVoteRequest().getPreVote())
			.setGranted(granted)
			.build();
		this.effects.messagesAfterSync
			.add(newMessage(message.getFrom()).setTerm(responseTerm).setVoteResponse(response).build());
	}

	private void receiveVoteResponse(AgreementMessage message, long nowMillis) {
		VoteResponse response = message.getVoteResponse();
		if (!response.getGranted()) {
			if (message.getTerm() > this.term) {
				becomeFollower(message.getTerm(), NO_ID, nowMillis);
			}
			return;
		}
		ReplicaRole expectedRole = response.getPreVote() ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE;
		long expectedTerm = response.getPreVote() ? this.term + 1 : this.term;
		if (this.role != expectedRole || message.getTerm() != expectedTerm) {
			return;
		}
		this.receivedVotes.add(message.getFrom());
		if (!hasQuorum(this.receivedVotes::contains)) {
			return;
		}
		if (response.getPreVote()) {
			startElection(nowMillis);
		}
		else {
			becomeLeader(nowMillis);
		}
	}

	private void becomeLeader(long nowMillis) {
		this.role = ReplicaRole.LEADER;
		this.leaderId = this.id;
		this.followers.clear();
		this.commitFreshness.forgetSent();
		this.termStartIndex = this.log.lastIndex() + 1;
		updateFollowers(nowMillis);
		appendEntry(LogEntry.newBuilder());
		broadcast(nowMillis);
	}

	private void updateFollowers(long nowMillis) {
		this.followers.updateMembers(this.log.configuration(), this.id, this.log.lastIndex() + 1, nowMillis);
	}

	// A new leader knows which entries are committed only after it has committed an
	// entry of its own term (Raft, section 8).
	boolean isReadyLeader() {
		return this.role == ReplicaRole.LEADER && this.commitIndex >= this.termStartIndex;
	}

	// Appends a command to the log and returns the index of its entry.
	long propose(Command command, long wallClockMillis) {
		Assert.state(this.role == ReplicaRole.LEADER, "Only a leader may propose a command.");
		return appendEntry(LogEntry.newBuilder().setProposedAtMillis(wallClockMillis).setCommand(command));
	}

	// Starts to replace a voter whose disk is lost by a new replica.
	void beginReplacement(long removedId, ReplicaDescriptor newReplica, long nowMillis) {
		changeConfiguration(ConfigurationChange.beginReplacement(this.log.configuration(), removedId, newReplica),
				nowMillis);
	}

	void addLearner(ReplicaDescriptor newReplica, long nowMillis) {
		changeConfiguration(ConfigurationChange.addLearner(this.log.configuration(), newReplica), nowMillis);
	}

	private boolean isSilentFor(long id, long millis, long nowMillis) {
		return id != this.id && !this.followers.respondedSince(id, nowMillis - millis);
	}

	boolean hasLeader(long nowMillis) {
		return hasLiveLeader(nowMillis);
	}

	boolean canChangeConfiguration() {
		return isReadyLeader() && this.log.configurationIndexAt(this.log.lastIndex()) <= this.commitIndex;
	}

	private void advanceReplacement(long nowMillis) {
		if (!canChangeConfiguration()) {
			return;
		}
		GroupSettings group = this.settings.group();
		Configuration configuration = this.log.configuration();
		ConfigurationChange
			.nextConfiguration(configuration, group.targetVoters(configuration), replicaStates(group, nowMillis))
			.ifPresent((newConfiguration) -> changeConfiguration(newConfiguration, nowMillis));
	}

	private ConfigurationChange.ReplicaStates replicaStates(GroupSettings group, long nowMillis) {
		return new ConfigurationChange.ReplicaStates() {

			@Override
			public boolean isCaughtUp(long id) {
				return Replica.this.isCaughtUp(id, nowMillis);
			}

			@Override
			public boolean isLost(long id) {
				return isSilentFor(id, group.silenceBeforeReplacementMillis(), nowMillis);
			}

			@Override
			public boolean isForgotten(long id) {
				return isSilentFor(id, group.silenceBeforeForgettingMillis(), nowMillis);
			}

		};
	}

	private boolean isCaughtUp(long id, long nowMillis) {
		return this.followers.matchIndex(id) >= this.commitIndex && respondedRecently(id, nowMillis);
	}

	private void changeConfiguration(Configuration configuration, long nowMillis) {
		appendEntry(LogEntry.newBuilder().setConfiguration(configuration));
		updateFollowers(nowMillis);
	}

	private long appendEntry(LogEntry.Builder entry) {
		LogEntry newEntry = entry.setIndex(this.log.lastIndex() + 1).setTerm(this.term).build();
		this.log.append(List.of(newEntry));
		this.effects.logFrames.add(LogFrame.newBuilder().addEntries(newEntry).build());
		this.broadcastPending = true;
		return newEntry.getIndex();
	}

	// Requests a confirmation that this replica is still the leader (read
	// index). The effects return the token once a quorum has responded to a
	// message sent after this call.
	void requestReadConfirmation(long token) {
		Assert.state(isReadyLeader(), "Only a leader that has committed an entry of its term may serve reads.");
		this.followers.requestReadConfirmation(token);
		this.broadcastPending = true;
	}

	private void collectConfirmedReads() {
		this.effects.confirmedReadTokens.addAll(this.followers.removeConfirmedReads(
				(round) -> hasQuorum((id) -> id == this.id || this.followers.hasAcknowledged(id, round))));
	}

	private void recordQuorum(long acknowledgedRound) {
		if (isReadyLeader()
				&& hasQuorum((id) -> id == this.id || this.followers.hasAcknowledged(id, acknowledgedRound))) {
			this.commitFreshness.recordConfirmation(acknowledgedRound, 0);
		}
	}

	private void broadcast(long nowMillis) {
		this.broadcastPending = false;
		this.followers.nextRound();
		this.commitFreshness.recordSent(this.followers.round(), nowMillis);
		this.nextHeartbeatMillis = nowMillis + this.settings.heartbeatIntervalMillis();
		this.followers.forEach((id, progress) -> sendEntries(id, progress, nowMillis));
		if (this.followers.isEmpty()) {
			recordQuorum(this.followers.round());
			collectConfirmedReads();
		}
	}

	private void sendEntries(long receiverId, FollowerProgress progress, long nowMillis) {
		if (progress.nextIndex() <= this.log.baseIndex()) {
			sendSnapshot(receiverId, progress, nowMillis);
			return;
		}
		long previousIndex = progress.nextIndex() - 1;
		List<LogEntry> entries = this.log.entriesFrom(progress.nextIndex(), this.settings.maximumEntriesPerAppend());
		AppendRequest.Builder request = AppendRequest.newBuilder()
			.setPreviousIndex(previousIndex)
			.setPreviousTerm(this.log.termAt(previousIndex))
			.addAllEntries(entries)
			.setCommitIndex(this.commitIndex)
			.setRound(this.followers.round())
			.setAcknowledgedRound(progress.acknowledgedRound());
		if (isReadyLeader()) {
			this.commitFreshness.ageMillis(nowMillis).ifPresent(request::setCommitAgeMillis);
		}
		this.effects.immediateMessages.add(newMessage(receiverId).setAppendRequest(request).build());
		progress.recordSent(previousIndex + entries.size());
	}

	private void sendSnapshot(long receiverId, FollowerProgress progress, long nowMillis) {
		if (!progress.canSendSnapshot(nowMillis)) {
			return;
		}
		Snapshot snapshot = this.log.snapshot().toBuilder().setRound(this.followers.round()).build();
		this.effects.immediateMessages.add(newMessage(receiverId).setSnapshot(snapshot).build());
		progress.recordSnapshotSent(nowMillis + this.settings.electionTimeoutMillis());
	}

	private void receiveAppendResponse(AgreementMessage message, long nowMillis) {
		if (message.getTerm() > this.term) {
			becomeFollower(message.getTerm(), NO_ID, nowMillis);
			return;
		}
		FollowerProgress progress = this.followers.get(message.getFrom());
		if (this.role != ReplicaRole.LEADER || message.getTerm() < this.term || progress == null) {
			return;
		}
		AppendResponse response = message.getAppendResponse();
		progress.recordResponse(response.getRound(), nowMillis);
		recordQuorum(response.getRound());
		if (response.getSuccess()) {
			progress.recordMatch(response.getIndex());
			advanceCommit(nowMillis);
		}
		else {
			progress.recordMismatch(response.getIndex());
		}
		collectConfirmedReads();
		if (this.role == ReplicaRole.LEADER && progress.nextIndex() <= this.log.lastIndex()) {
			sendEntries(message.getFrom(), progress, nowMillis);
		}
	}

	private void advanceCommit(long nowMillis) {
		long newCommitIndex = this.log.lastIndex();
		while (newCommitIndex > this.commitIndex && !isDurableOnQuorum(newCommitIndex)) {
			newCommitIndex--;
		}
		if (newCommitIndex > this.commitIndex && this.log.termAt(newCommitIndex) == this.term) {
			commitUpTo(newCommitIndex);
			stepDownOrAdvanceReplacement(nowMillis);
		}
	}

	private boolean isDurableOnQuorum(long index) {
		return hasQuorum((id) -> durableIndexOf(id) >= index);
	}

	private long durableIndexOf(long id) {
		if (id == this.id) {
			return this.durableIndex;
		}
		return this.followers.matchIndex(id);
	}

	private void stepDownOrAdvanceReplacement(long nowMillis) {
		boolean configurationCommitted = this.log.configurationIndexAt(this.log.lastIndex()) <= this.commitIndex;
		if (configurationCommitted && !isVoter(this.id)) {
			becomeFollower(this.term, NO_ID, nowMillis);
			return;
		}
		advanceReplacement(nowMillis);
	}

	private void commitUpTo(long index) {
		for (long i = this.commitIndex + 1; i <= index; i++) {
			this.effects.committedEntries.add(this.log.entryAt(i));
		}
		this.commitIndex = Math.max(this.commitIndex, index);
	}

	private void receiveFromLeader(AgreementMessage message, long nowMillis) {
		if (message.getTerm() < this.term) {
			respondToAppend(message.getFrom(), false, 0, 0);
			return;
		}
		if (message.getTerm() > this.term || this.role != ReplicaRole.FOLLOWER) {
			becomeFollower(message.getTerm(), message.getFrom(), nowMillis);
		}
		if (this.leaderId != message.getFrom()) {
			this.commitFreshness.forgetSent();
		}
		this.leaderId = message.getFrom();
		this.lastLeaderContactMillis = nowMillis;
		scheduleElection(nowMillis);
		if (message.hasSnapshot()) {
			receiveSnapshot(message);
		}
		else {
			receiveAppend(message);
			this.commitFreshness.recordSent(message.getAppendRequest().getRound(), nowMillis);
		}
	}

	private void receiveAppend(AgreementMessage message) {
		AppendRequest request = message.getAppendRequest();
		if (request.getPreviousIndex() < this.log.baseIndex()) {
			respondToAppend(message.getFrom(), true, this.commitIndex, request.getRound());
			return;
		}
		if (!this.log.containsEntry(request.getPreviousIndex(), request.getPreviousTerm())) {
			respondToAppend(message.getFrom(), false, lastPossibleMatchIndex(request.getPreviousIndex()),
					request.getRound());
			return;
		}
		appendMissingEntries(request.getEntriesList());
		long matchedIndex = request.getPreviousIndex() + request.getEntriesCount();
		commitUpTo(Math.min(request.getCommitIndex(), matchedIndex));
		if (this.commitIndex == request.getCommitIndex() && request.hasCommitAgeMillis()) {
			this.commitFreshness.recordConfirmation(request.getAcknowledgedRound(), request.getCommitAgeMillis());
		}
		respondToAppend(message.getFrom(), true, matchedIndex, request.getRound());
	}

	private long lastPossibleMatchIndex(long previousIndex) {
		if (previousIndex > this.log.lastIndex()) {
			return this.log.lastIndex();
		}
		return Math.max(this.commitIndex, this.log.firstIndexOfTermAt(previousIndex) - 1);
	}

	private void appendMissingEntries(List<LogEntry> entries) {
		int matchingCount = 0;
		while (matchingCount < entries.size() && this.log.containsEntry(entries.get(matchingCount).getIndex(),
				entries.get(matchingCount).getTerm())) {
			matchingCount++;
		}
		if (matchingCount == entries.size()) {
			return;
		}
		List<LogEntry> missingEntries = entries.subList(matchingCount, entries.size());
		long firstIndex = missingEntries.get(0).getIndex();
		LogFrame.Builder frame = LogFrame.newBuilder().addAllEntries(missingEntries);
		if (firstIndex <= this.log.lastIndex()) {
			Assert.state(firstIndex > this.commitIndex, "Committed entry " + firstIndex + " must not be overwritten.");
			this.log.truncateFrom(firstIndex);
			this.durableIndex = Math.min(this.durableIndex, firstIndex - 1);
			frame.setTruncateFrom(firstIndex);
		}
		this.log.append(missingEntries);
		this.effects.logFrames.add(frame.build());
	}

	private void receiveSnapshot(AgreementMessage message) {
		Snapshot snapshot = message.getSnapshot();
		if (snapshot.getIndex() > this.commitIndex) {
			this.log.install(snapshot.toBuilder().clearRound().build());
			this.commitIndex = snapshot.getIndex();
			this.effects.committedEntries.clear();
			this.effects.installedSnapshot = this.log.snapshot();
			this.effects.logRewriteRequired = true;
		}
		respondToAppend(message.getFrom(), true, this.commitIndex, snapshot.getRound());
	}

	private void respondToAppend(long receiverId, boolean success, long index, long responseRound) {
		AppendResponse response = AppendResponse.newBuilder()
			.setSuccess(success)
			.setIndex(index)
			.setRound(responseRound)
			.build();
		this.effects.messagesAfterSync.add(newMessage(receiverId).setAppendResponse(response).build());
	}

	// Sets a snapshot taken by this replica and drops entries that it includes.
	void compact(Snapshot snapshot) {
		this.log.compact(snapshot);
	}

}
