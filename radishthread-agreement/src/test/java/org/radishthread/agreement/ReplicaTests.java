package org.radishthread.agreement;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.AppendResponse;
import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.Snapshot;
import org.radishthread.protocol.VoteRequest;
import org.radishthread.protocol.VoteResponse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Replica}: cases that {@link AgreementProperties} reaches too rarely.
 */
class ReplicaTests {

	private static final long GROUP_ID = 9;

	private static final ReplicaSettings SETTINGS = new ReplicaSettings(50, 200, 1, 1_000, GroupSettings.DEFAULTS);

	private static StoredLog storedLog(HardState hardState, List<LogEntry> entries) {
		Configuration.Builder configuration = Configuration.newBuilder();
		for (long id = 1; id <= 3; id++) {
			configuration.addVoters(ReplicaDescriptor.newBuilder().setId(id).setInstance("control-" + id));
		}
		Snapshot initialSnapshot = Snapshot.newBuilder().setIndex(1).setTerm(1).setConfiguration(configuration).build();
		return new StoredLog(hardState, initialSnapshot, entries);
	}

	private static HardState hardState(long term) {
		return HardState.newBuilder().setGroup(GROUP_ID).setTerm(term).build();
	}

	private static Replica newReplica(StoredLog storedLog) {
		return new Replica(1, SETTINGS, (minimum) -> minimum, storedLog);
	}

	private static AgreementMessage.Builder messageFrom(long senderId, long term) {
		return AgreementMessage.newBuilder().setGroup(GROUP_ID).setFrom(senderId).setTo(1).setTerm(term);
	}

	private static AgreementMessage voteRequest(long senderId, long term) {
		return messageFrom(senderId, term).setVoteRequest(VoteRequest.newBuilder().setLastIndex(100).setLastTerm(term))
			.build();
	}

	private static AgreementMessage appendResponse(long senderId, long term, long index, long round) {
		return messageFrom(senderId, term)
			.setAppendResponse(AppendResponse.newBuilder().setSuccess(true).setIndex(index).setRound(round))
			.build();
	}

	private static Replica electLeader(StoredLog storedLog) {
		Replica replica = newReplica(storedLog);
		replica.tick(0);
		replica.tick(1_000);
		long term = storedLog.hardState().getTerm() + 1;
		replica
			.receive(messageFrom(2, term).setVoteResponse(VoteResponse.newBuilder().setPreVote(true).setGranted(true))
				.build(), 1_000);
		replica.receive(messageFrom(2, term).setVoteResponse(VoteResponse.newBuilder().setGranted(true)).build(),
				1_000);
		assertThat(replica.role()).isEqualTo(ReplicaRole.LEADER);
		replica.drain(1_000);
		replica.onLogSynced(1_000);
		return replica;
	}

	@Nested
	class Votes {

		@Test
		void voteIsKeptAcrossRestart() {
			Replica originalReplica = newReplica(storedLog(hardState(1), List.of()));
			originalReplica.receive(voteRequest(2, 5), 0);
			HardState storedHardState = hardState(1);
			for (LogFrame frame : originalReplica.drain(0).logFrames) {
				storedHardState = frame.hasHardState() ? frame.getHardState() : storedHardState;
			}
			Replica restartedReplica = newReplica(storedLog(storedHardState, List.of()));
			restartedReplica.receive(voteRequest(3, 5), 10);
			assertThat(restartedReplica.drain(10).messagesAfterSync)
				.allSatisfy((message) -> assertThat(message.getVoteResponse().getGranted()).isFalse());
		}

		@Test
		void leaderIgnoresVoteRequestsOfHigherTerm() {
			Replica leader = electLeader(storedLog(hardState(1), List.of()));
			leader.receive(voteRequest(3, 50), 1_010);
			assertThat(leader.role()).isEqualTo(ReplicaRole.LEADER);
			assertThat(leader.term()).isEqualTo(2);
		}

	}

	@Nested
	class Commits {

		@Test
		void entryOfEarlierTermIsNotCommittedByCountingReplicas() {
			LogEntry earlierEntry = LogEntry.newBuilder().setIndex(2).setTerm(1).build();
			Replica leader = electLeader(storedLog(hardState(1), List.of(earlierEntry)));
			leader.receive(appendResponse(2, 2, 2, 1), 1_010);
			assertThat(leader.commitIndex()).as("commit index with entry 2 on a majority").isEqualTo(1);
			leader.receive(appendResponse(2, 2, 3, 1), 1_020);
			assertThat(leader.commitIndex()).as("commit index with entry 3 of the current term on a majority")
				.isEqualTo(3);
		}

	}

	@Nested
	class Reads {

		@Test
		void readIsConfirmedOnlyByResponsesToLaterMessages() {
			Replica leader = electLeader(storedLog(hardState(1), List.of()));
			leader.receive(appendResponse(2, 2, 2, 1), 1_010);
			leader.drain(1_010);
			leader.requestReadConfirmation(77);
			leader.drain(1_020);
			leader.receive(appendResponse(2, 2, 2, 1), 1_030);
			assertThat(leader.drain(1_030).confirmedReadTokens).as("response to an earlier message").isEmpty();
			leader.receive(appendResponse(2, 2, 2, 2), 1_040);
			assertThat(leader.drain(1_040).confirmedReadTokens).containsExactly(77L);
		}

	}

}
