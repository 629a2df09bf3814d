package org.radishthread.agreement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongPredicate;

import org.radishthread.kernel.Assert;
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
 * One member of a replicated log in the manner of Raft (Ongaro and Ousterhout, "In Search
 * of an Understandable Consensus Algorithm", 2014), with pre-vote, check-quorum,
 * quorum-confirmed reads and learners. It owns no thread, clock, socket or file: the
 * caller passes messages and the time and carries out the {@link ReplicaEffects effects}.
 */
final class Replica {

	private static final long NOBODY = 0;

	private static final long NEVER = Long.MIN_VALUE / 2;

	// A fifth of the election timeout is still many round trips between availability
	// zones.
	private static final int FIRST_ELECTION_DIVISOR = 5;

	// Processes that start share a small processor with the loading of their classes.
	private static final int LATER_ELECTION_DIVISOR = 2;

	private final long identity;

	private final ReplicaSettings settings;

	private final ElectionTimeoutSource timeouts;

	private final ReplicaLog log;

	private ReplicaEffects effects = new ReplicaEffects();

	private ReplicaRole role;

	private long group;

	private long term;

	private long votedFor;

	private long leader = NOBODY;

	private long commitIndex;

	private long syncedIndex;

	private long electionDeadline = Long.MIN_VALUE;

	private long leaderContactMillis = NEVER;

	private boolean electionTried;

	private final Set<Long> votes = new HashSet<>();

	private final FollowerTable followers = new FollowerTable();

	private long nextHeartbeatMillis;

	private long termStartIndex;

	private boolean broadcastNeeded;

	Replica(long identity, ReplicaSettings settings, ElectionTimeoutSource timeouts, StoredLog stored) {
		Assert.isTrue(identity != NOBODY, "Identity of a replica must not be zero.");
		this.identity = identity;
		this.settings = settings;
		this.timeouts = timeouts;
		this.log = new ReplicaLog(stored.snapshot(), stored.entries());
		this.group = stored.hardState().getGroup();
		this.term = stored.hardState().getTerm();
		this.votedFor = stored.hardState().getVotedFor();
		this.commitIndex = stored.snapshot().getIndex();
		this.syncedIndex = this.log.lastIndex();
		this.role = (this.group == NOBODY) ? ReplicaRole.UNFOUNDED : ReplicaRole.FOLLOWER;
	}

	long identity() {
		return this.identity;
	}

	ReplicaRole role() {
		return this.role;
	}

	long group() {
		return this.group;
	}

	long term() {
		return this.term;
	}

	long leader() {
		return this.leader;
	}

	long commitIndex() {
		return this.commitIndex;
	}

	ReplicaLog log() {
		return this.log;
	}

	HardState hardState() {
		return HardState.newBuilder().setTerm(this.term).setVotedFor(this.votedFor).setGroup(this.group).build();
	}

	// Hands over what is to be done and sends what was batched.
	ReplicaEffects drain(long now) {
		if (this.role == ReplicaRole.LEADER && this.broadcastNeeded) {
			broadcast(now);
		}
		ReplicaEffects drained = this.effects;
		this.effects = new ReplicaEffects();
		return drained;
	}

	// Learns that all effects drained so far are durable.
	void synced(long now) {
		this.syncedIndex = this.log.lastIndex();
		if (this.role == ReplicaRole.LEADER) {
			advanceCommit(now);
		}
	}

	void tick(long now) {
		switch (this.role) {
			case UNFOUNDED -> {
				return;
			}
			case LEADER -> tickLeader(now);
			default -> tickFollower(now);
		}
	}

	private void tickLeader(long now) {
		if (!quorum((id) -> respondedRecently(id, now))) {
			becomeFollower(this.term, NOBODY, now);
			return;
		}
		continueReplacement(now);
		if (now >= this.nextHeartbeatMillis) {
			broadcast(now);
		}
	}

	private boolean respondedRecently(long id, long now) {
		return id == this.identity || this.followers.respondedSince(id, now - this.settings.electionTimeoutMillis());
	}

	private void tickFollower(long now) {
		if (this.electionDeadline == Long.MIN_VALUE) {
			scheduleElection(now);
		}
		if (now >= this.electionDeadline && isVoter(this.identity)) {
			startPreVote(now);
		}
	}

	// Until a leader is heard for the first time there is none whose silence could be a
	// short one. A replica that starts beside a live leader disturbs nobody, because the
	// others refuse its pre-vote. A second try waits longer, as answers of replicas that
	// start, too, are slow.
	private void scheduleElection(long now) {
		long timeout = this.settings.electionTimeoutMillis();
		if (this.leaderContactMillis == NEVER) {
			timeout /= this.electionTried ? LATER_ELECTION_DIVISOR : FIRST_ELECTION_DIVISOR;
		}
		this.electionDeadline = now + this.timeouts.nextMillis(timeout);
	}

	private boolean isVoter(long id) {
		return ConfigurationChange.contains(this.log.configuration().getVotersList(), id);
	}

	private boolean quorum(LongPredicate agrees) {
		List<ReplicaDescriptor> voters = this.log.configuration().getVotersList();
		long agreeing = voters.stream().filter((voter) -> agrees.test(voter.getId())).count();
		return 2 * agreeing > voters.size();
	}

	// Founding

	// Founds a group with this replica as a member.
	void found(long newGroup, Configuration configuration, long now) {
		Assert.state(this.role == ReplicaRole.UNFOUNDED, "A replica must found or join a group only once.");
		this.group = newGroup;
		this.term = 1;
		this.log.install(Snapshot.newBuilder().setIndex(1).setTerm(1).setConfiguration(configuration).build());
		this.commitIndex = 1;
		this.role = ReplicaRole.FOLLOWER;
		this.effects.rewriteLog = true;
		scheduleElection(now);
	}

	void sendFoundingRequest(long to) {
		FoundingRequest request = FoundingRequest.newBuilder().setConfiguration(this.log.configuration()).build();
		this.effects.afterSync.add(message(to).setFoundingRequest(request).build());
	}

	private void receiveUnfounded(AgreementMessage message, long now) {
		switch (message.getBodyCase()) {
			case FOUNDING_REQUEST -> {
				Configuration configuration = message.getFoundingRequest().getConfiguration();
				if (ConfigurationChange.contains(configuration.getVotersList(), this.identity)) {
					found(message.getGroup(), configuration, now);
					acknowledgeFounding(message.getFrom());
				}
			}
			case SNAPSHOT -> {
				this.group = message.getGroup();
				this.role = ReplicaRole.FOLLOWER;
				receiveFounded(message, now);
			}
			case APPEND_REQUEST -> {
				AppendResponse nothingHeld = AppendResponse.newBuilder().setSuccess(false).setIndex(0).build();
				this.effects.afterSync.add(AgreementMessage.newBuilder()
					.setGroup(message.getGroup())
					.setFrom(this.identity)
					.setTo(message.getFrom())
					.setTerm(message.getTerm())
					.setAppendResponse(nothingHeld)
					.build());
			}
			default -> {
				return;
			}
		}
	}

	private void acknowledgeFounding(long to) {
		this.effects.afterSync.add(message(to).setFoundingResponse(FoundingResponse.getDefaultInstance()).build());
	}

	// Messages

	void receive(AgreementMessage message, long now) {
		if (message.getTo() != this.identity) {
			return;
		}
		if (this.role == ReplicaRole.UNFOUNDED) {
			receiveUnfounded(message, now);
		}
		else if (message.getGroup() == this.group) {
			receiveFounded(message, now);
		}
	}

	private void receiveFounded(AgreementMessage message, long now) {
		switch (message.getBodyCase()) {
			case VOTE_REQUEST -> receiveVoteRequest(message, now);
			case VOTE_RESPONSE -> receiveVoteResponse(message, now);
			case APPEND_REQUEST, SNAPSHOT -> receiveFromLeader(message, now);
			case APPEND_RESPONSE -> receiveAppendResponse(message, now);
			case FOUNDING_REQUEST -> acknowledgeFounding(message.getFrom());
			default -> {
				return;
			}
		}
	}

	private AgreementMessage.Builder message(long to) {
		return AgreementMessage.newBuilder().setGroup(this.group).setFrom(this.identity).setTo(to).setTerm(this.term);
	}

	private void persistHardState() {
		this.effects.frames.add(LogFrame.newBuilder().setHardState(hardState()).build());
	}

	private void becomeFollower(long newTerm, long newLeader, long now) {
		if (this.role == ReplicaRole.LEADER) {
			this.effects.leadershipLost = true;
			this.followers.clear();
		}
		if (newTerm > this.term) {
			this.term = newTerm;
			this.votedFor = NOBODY;
			persistHardState();
		}
		this.role = ReplicaRole.FOLLOWER;
		this.leader = newLeader;
		scheduleElection(now);
	}

	// Elections

	private void startPreVote(long now) {
		this.role = ReplicaRole.PRE_CANDIDATE;
		this.leader = NOBODY;
		this.votes.clear();
		this.votes.add(this.identity);
		this.electionTried = true;
		scheduleElection(now);
		if (quorum(this.votes::contains)) {
			startElection(now);
			return;
		}
		requestVotes(true, this.term + 1);
		foundUnreached();
	}

	// A founder that stopped too early left members behind that do not know of the group.
	private void foundUnreached() {
		if (this.log.lastIndex() > 1) {
			return;
		}
		this.log.configuration()
			.getVotersList()
			.stream()
			.map(ReplicaDescriptor::getId)
			.filter((id) -> id != this.identity)
			.forEach(this::sendFoundingRequest);
	}

	private void startElection(long now) {
		this.role = ReplicaRole.CANDIDATE;
		this.term++;
		this.votedFor = this.identity;
		persistHardState();
		this.votes.clear();
		this.votes.add(this.identity);
		scheduleElection(now);
		if (quorum(this.votes::contains)) {
			becomeLeader(now);
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
			if (voter.getId() != this.identity) {
				this.effects.afterSync
					.add(message(voter.getId()).setTerm(requestedTerm).setVoteRequest(request).build());
			}
		}
	}

	private void receiveVoteRequest(AgreementMessage message, long now) {
		VoteRequest request = message.getVoteRequest();
		if (hasLiveLeader(now)) {
			return;
		}
		if (request.getPreVote()) {
			boolean granted = message.getTerm() > this.term && isUpToDate(request);
			answerVote(message, granted, granted ? message.getTerm() : this.term);
			return;
		}
		if (message.getTerm() > this.term) {
			becomeFollower(message.getTerm(), NOBODY, now);
		}
		boolean free = this.votedFor == NOBODY || this.votedFor == message.getFrom();
		boolean granted = message.getTerm() == this.term && free && isUpToDate(request);
		if (granted && this.votedFor == NOBODY) {
			this.votedFor = message.getFrom();
			persistHardState();
		}
		if (granted) {
			scheduleElection(now);
		}
		answerVote(message, granted, this.term);
	}

	private boolean hasLiveLeader(long now) {
		if (this.role == ReplicaRole.LEADER) {
			return true;
		}
		return this.leader != NOBODY && now - this.leaderContactMillis < this.settings.electionTimeoutMillis();
	}

	private boolean isUpToDate(VoteRequest request) {
		if (request.getLastTerm() != this.log.lastTerm()) {
			return request.getLastTerm() > this.log.lastTerm();
		}
		return request.getLastIndex() >= this.log.lastIndex();
	}

	private void answerVote(AgreementMessage message, boolean granted, long answeredTerm) {
		VoteResponse response = VoteResponse.newBuilder()
			.setPreVote(message.getVoteRequest().getPreVote())
			.setGranted(granted)
			.build();
		this.effects.afterSync.add(message(message.getFrom()).setTerm(answeredTerm).setVoteResponse(response).build());
	}

	private void receiveVoteResponse(AgreementMessage message, long now) {
		VoteResponse response = message.getVoteResponse();
		if (!response.getGranted()) {
			if (message.getTerm() > this.term) {
				becomeFollower(message.getTerm(), NOBODY, now);
			}
			return;
		}
		ReplicaRole expectedRole = response.getPreVote() ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE;
		long expectedTerm = response.getPreVote() ? this.term + 1 : this.term;
		if (this.role != expectedRole || message.getTerm() != expectedTerm) {
			return;
		}
		this.votes.add(message.getFrom());
		if (!quorum(this.votes::contains)) {
			return;
		}
		if (response.getPreVote()) {
			startElection(now);
		}
		else {
			becomeLeader(now);
		}
	}

	private void becomeLeader(long now) {
		this.role = ReplicaRole.LEADER;
		this.leader = this.identity;
		this.followers.clear();
		this.termStartIndex = this.log.lastIndex() + 1;
		refreshFollowers(now);
		appendEntry(LogEntry.newBuilder());
		broadcast(now);
	}

	private void refreshFollowers(long now) {
		this.followers.keepOnly(this.log.configuration(), this.identity, this.log.lastIndex() + 1, now);
	}

	// Leader

	boolean isReadyLeader() {
		return this.role == ReplicaRole.LEADER && this.commitIndex >= this.termStartIndex;
	}

	// Appends a command.
	long propose(Command command, long wallClockMillis) {
		Assert.state(this.role == ReplicaRole.LEADER, "Only a leader may propose.");
		return appendEntry(LogEntry.newBuilder().setProposedAtMillis(wallClockMillis).setCommand(command));
	}

	// Begins the replacement of a voter by a new replica.
	void beginReplacement(long removed, ReplicaDescriptor added, long now) {
		Configuration next = ConfigurationChange.begin(this.log.configuration(), removed, added);
		changeConfiguration(next, now);
	}

	boolean isSilent(long id, long since) {
		return id != this.identity && !this.followers.respondedSince(id, since);
	}

	boolean hasLeader(long now) {
		return hasLiveLeader(now);
	}

	boolean mayChangeConfiguration() {
		return isReadyLeader() && this.log.configurationIndexAt(this.log.lastIndex()) <= this.commitIndex;
	}

	private void continueReplacement(long now) {
		if (!mayChangeConfiguration()) {
			return;
		}
		ConfigurationChange.next(this.log.configuration(), (id) -> isCaughtUp(id, now))
			.ifPresent((next) -> changeConfiguration(next, now));
	}

	private boolean isCaughtUp(long id, long now) {
		return this.followers.matchIndex(id) >= this.commitIndex && respondedRecently(id, now);
	}

	private void changeConfiguration(Configuration configuration, long now) {
		appendEntry(LogEntry.newBuilder().setConfiguration(configuration));
		refreshFollowers(now);
	}

	private long appendEntry(LogEntry.Builder entry) {
		LogEntry appended = entry.setIndex(this.log.lastIndex() + 1).setTerm(this.term).build();
		this.log.append(List.of(appended));
		this.effects.frames.add(LogFrame.newBuilder().addEntries(appended).build());
		this.broadcastNeeded = true;
		return appended.getIndex();
	}

	// Asks for confirmation that this replica still leads; the token comes back in the
	// effects once a quorum has answered a message sent after this call.
	void confirmRead(long token) {
		Assert.state(isReadyLeader(), "Only a leader that committed in its term may read.");
		this.followers.confirmRead(token);
		this.broadcastNeeded = true;
	}

	private void confirmReads() {
		this.effects.confirmedReads.addAll(this.followers.takeConfirmedReads(
				(round) -> quorum((id) -> id == this.identity || this.followers.acknowledged(id, round))));
	}

	private void broadcast(long now) {
		this.broadcastNeeded = false;
		this.followers.nextRound();
		this.nextHeartbeatMillis = now + this.settings.heartbeatMillis();
		this.followers.forEach((id, progress) -> sendEntries(id, progress, now));
		if (this.followers.isEmpty()) {
			confirmReads();
		}
	}

	private void sendEntries(long to, FollowerProgress progress, long now) {
		if (progress.nextIndex() <= this.log.baseIndex()) {
			sendSnapshot(to, progress, now);
			return;
		}
		long previous = progress.nextIndex() - 1;
		List<LogEntry> entries = this.log.entriesFrom(progress.nextIndex(), this.settings.entriesPerAppend());
		AppendRequest request = AppendRequest.newBuilder()
			.setPreviousIndex(previous)
			.setPreviousTerm(this.log.termAt(previous))
			.addAllEntries(entries)
			.setCommitIndex(this.commitIndex)
			.setRound(this.followers.round())
			.build();
		this.effects.immediate.add(message(to).setAppendRequest(request).build());
		progress.sentUpTo(previous + entries.size());
	}

	private void sendSnapshot(long to, FollowerProgress progress, long now) {
		if (!progress.maySendSnapshot(now)) {
			return;
		}
		Snapshot snapshot = this.log.snapshot().toBuilder().setRound(this.followers.round()).build();
		this.effects.immediate.add(message(to).setSnapshot(snapshot).build());
		progress.snapshotSent(now + this.settings.electionTimeoutMillis());
	}

	private void receiveAppendResponse(AgreementMessage message, long now) {
		if (message.getTerm() > this.term) {
			becomeFollower(message.getTerm(), NOBODY, now);
			return;
		}
		FollowerProgress progress = this.followers.get(message.getFrom());
		if (this.role != ReplicaRole.LEADER || message.getTerm() < this.term || progress == null) {
			return;
		}
		AppendResponse response = message.getAppendResponse();
		progress.responded(response.getRound(), now);
		if (response.getSuccess()) {
			progress.matched(response.getIndex());
			advanceCommit(now);
		}
		else {
			progress.rejected(response.getIndex());
		}
		confirmReads();
		if (this.role == ReplicaRole.LEADER && progress.nextIndex() <= this.log.lastIndex()) {
			sendEntries(message.getFrom(), progress, now);
		}
	}

	private void advanceCommit(long now) {
		long candidate = this.log.lastIndex();
		while (candidate > this.commitIndex && !isStoredByQuorum(candidate)) {
			candidate--;
		}
		if (candidate > this.commitIndex && this.log.termAt(candidate) == this.term) {
			commitUpTo(candidate);
			afterLeaderCommit(now);
		}
	}

	private boolean isStoredByQuorum(long index) {
		return quorum((id) -> storedIndex(id) >= index);
	}

	private long storedIndex(long id) {
		if (id == this.identity) {
			return this.syncedIndex;
		}
		return this.followers.matchIndex(id);
	}

	private void afterLeaderCommit(long now) {
		boolean settled = this.log.configurationIndexAt(this.log.lastIndex()) <= this.commitIndex;
		if (settled && !isVoter(this.identity)) {
			becomeFollower(this.term, NOBODY, now);
			return;
		}
		continueReplacement(now);
	}

	private void commitUpTo(long index) {
		for (long i = this.commitIndex + 1; i <= index; i++) {
			this.effects.committed.add(this.log.entryAt(i));
		}
		this.commitIndex = Math.max(this.commitIndex, index);
	}

	// Follower

	private void receiveFromLeader(AgreementMessage message, long now) {
		if (message.getTerm() < this.term) {
			answerAppend(message.getFrom(), false, 0, 0);
			return;
		}
		if (message.getTerm() > this.term || this.role != ReplicaRole.FOLLOWER) {
			becomeFollower(message.getTerm(), message.getFrom(), now);
		}
		this.leader = message.getFrom();
		this.leaderContactMillis = now;
		scheduleElection(now);
		if (message.hasSnapshot()) {
			receiveSnapshot(message);
		}
		else {
			receiveAppend(message);
		}
	}

	private void receiveAppend(AgreementMessage message) {
		AppendRequest request = message.getAppendRequest();
		if (request.getPreviousIndex() < this.log.baseIndex()) {
			answerAppend(message.getFrom(), true, this.commitIndex, request.getRound());
			return;
		}
		if (!this.log.holds(request.getPreviousIndex(), request.getPreviousTerm())) {
			answerAppend(message.getFrom(), false, lastPossibleIndex(request.getPreviousIndex()), request.getRound());
			return;
		}
		storeEntries(request.getEntriesList());
		long matched = request.getPreviousIndex() + request.getEntriesCount();
		commitUpTo(Math.min(request.getCommitIndex(), matched));
		answerAppend(message.getFrom(), true, matched, request.getRound());
	}

	private long lastPossibleIndex(long previousIndex) {
		if (previousIndex > this.log.lastIndex()) {
			return this.log.lastIndex();
		}
		return Math.max(this.commitIndex, this.log.firstIndexOfTermAt(previousIndex) - 1);
	}

	private void storeEntries(List<LogEntry> entries) {
		int known = 0;
		while (known < entries.size() && this.log.holds(entries.get(known).getIndex(), entries.get(known).getTerm())) {
			known++;
		}
		if (known == entries.size()) {
			return;
		}
		List<LogEntry> added = entries.subList(known, entries.size());
		long first = added.get(0).getIndex();
		LogFrame.Builder frame = LogFrame.newBuilder().addAllEntries(added);
		if (first <= this.log.lastIndex()) {
			Assert.state(first > this.commitIndex, "Committed entry " + first + " must not be overwritten.");
			this.log.truncateFrom(first);
			this.syncedIndex = Math.min(this.syncedIndex, first - 1);
			frame.setTruncateFrom(first);
		}
		this.log.append(added);
		this.effects.frames.add(frame.build());
	}

	private void receiveSnapshot(AgreementMessage message) {
		Snapshot snapshot = message.getSnapshot();
		if (snapshot.getIndex() > this.commitIndex) {
			this.log.install(snapshot.toBuilder().clearRound().build());
			this.commitIndex = snapshot.getIndex();
			this.effects.committed.clear();
			this.effects.installed = this.log.snapshot();
			this.effects.rewriteLog = true;
		}
		answerAppend(message.getFrom(), true, this.commitIndex, snapshot.getRound());
	}

	private void answerAppend(long to, boolean success, long index, long answeredRound) {
		AppendResponse response = AppendResponse.newBuilder()
			.setSuccess(success)
			.setIndex(index)
			.setRound(answeredRound)
			.build();
		this.effects.afterSync.add(message(to).setAppendResponse(response).build());
	}

	// Takes a snapshot of the state after an applied entry.
	void compact(Snapshot snapshot) {
		this.log.compact(snapshot);
	}

}
