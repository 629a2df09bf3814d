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
 * Tests for {@link Replica}: cases that the fuzzer reaches too rarely.
 */
class ReplicaTests {

	private static final long GROUP = 9;

	private static final ReplicaSettings SETTINGS = new ReplicaSettings(50, 200, 1, 1_000);

	private static StoredLog stored(HardState hardState, List<LogEntry> entries) {
		Configuration.Builder configuration = Configuration.newBuilder();
		for (long id = 1; id <= 3; id++) {
			configuration.addVoters(ReplicaDescriptor.newBuilder().setId(id).setInstance("control-" + id));
		}
		Snapshot founding = Snapshot.newBuilder().setIndex(1).setTerm(1).setConfiguration(configuration).build();
		return new StoredLog(hardState, founding, entries);
	}

	private static HardState hardState(long term) {
		return HardState.newBuilder().setGroup(GROUP).setTerm(term).build();
	}

	private static Replica replica(StoredLog stored) {
		return new Replica(1, SETTINGS, (minimum) -> minimum, stored);
	}

	private static AgreementMessage.Builder from(long sender, long term) {
		return AgreementMessage.newBuilder().setGroup(GROUP).setFrom(sender).setTo(1).setTerm(term);
	}

	private static AgreementMessage voteRequest(long sender, long term) {
		return from(sender, term).setVoteRequest(VoteRequest.newBuilder().setLastIndex(100).setLastTerm(term)).build();
	}

	private static AgreementMessage appended(long sender, long term, long index, long round) {
		return from(sender, term)
			.setAppendResponse(AppendResponse.newBuilder().setSuccess(true).setIndex(index).setRound(round))
			.build();
	}

	private static Replica leader(StoredLog stored) {
		Replica replica = replica(stored);
		replica.tick(0);
		replica.tick(1_000);
		long term = stored.hardState().getTerm() + 1;
		replica.receive(
				from(2, term).setVoteResponse(VoteResponse.newBuilder().setPreVote(true).setGranted(true)).build(),
				1_000);
		replica.receive(from(2, term).setVoteResponse(VoteResponse.newBuilder().setGranted(true)).build(), 1_000);
		assertThat(replica.role()).isEqualTo(ReplicaRole.LEADER);
		replica.drain(1_000);
		replica.synced(1_000);
		return replica;
	}

	@Nested
	class Votes {

		@Test
		void voteSurvivesARestart() {
			Replica before = replica(stored(hardState(1), List.of()));
			before.receive(voteRequest(2, 5), 0);
			HardState kept = hardState(1);
			for (LogFrame frame : before.drain(0).frames) {
				kept = frame.hasHardState() ? frame.getHardState() : kept;
			}
			Replica after = replica(stored(kept, List.of()));
			after.receive(voteRequest(3, 5), 10);
			assertThat(after.drain(10).afterSync)
				.allSatisfy((message) -> assertThat(message.getVoteResponse().getGranted()).isFalse());
		}

		@Test
		void instanceWithALiveLeaderIgnoresCandidates() {
			Replica leader = leader(stored(hardState(1), List.of()));
			leader.receive(voteRequest(3, 50), 1_010);
			assertThat(leader.role()).isEqualTo(ReplicaRole.LEADER);
			assertThat(leader.term()).isEqualTo(2);
		}

	}

	@Nested
	class Commits {

		@Test
		void entryOfAFormerTermIsNotCommittedByCounting() {
			LogEntry former = LogEntry.newBuilder().setIndex(2).setTerm(1).build();
			Replica leader = leader(stored(hardState(1), List.of(former)));
			leader.receive(appended(2, 2, 2, 1), 1_010);
			assertThat(leader.commitIndex()).as("entry 2 on a majority").isEqualTo(1);
			leader.receive(appended(2, 2, 3, 1), 1_020);
			assertThat(leader.commitIndex()).as("entry 3 of the present term").isEqualTo(3);
		}

	}

	@Nested
	class Reads {

		@Test
		void readIsConfirmedOnlyByAnswersToLaterMessages() {
			Replica leader = leader(stored(hardState(1), List.of()));
			leader.receive(appended(2, 2, 2, 1), 1_010);
			leader.drain(1_010);
			leader.confirmRead(77);
			leader.drain(1_020);
			leader.receive(appended(2, 2, 2, 1), 1_030);
			assertThat(leader.drain(1_030).confirmedReads).as("answer to an earlier message").isEmpty();
			leader.receive(appended(2, 2, 2, 2), 1_040);
			assertThat(leader.drain(1_040).confirmedReads).containsExactly(77L);
		}

	}

}
