package org.radishthread.membership;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.membership.AnnouncementReplication.Recipient;
import org.radishthread.membership.AnnouncementReplication.Recipients;
import org.radishthread.protocol.UpstreamRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnnouncementReplication}.
 */
class AnnouncementReplicationTests {

	private static final Recipients ALL = new Recipients(List.of(new Recipient("control-2", "b:1"),
			new Recipient("control-3", "c:1"), new Recipient("gateway-1", "g:1")), Set.of("control-2", "control-3"),
			true);

	private static final Recipients ALONE = new Recipients(List.of(), Set.of("control-2", "control-3"), true);

	private final AnnouncementReplication replication = new AnnouncementReplication();

	private final UpstreamRecord upstream = UpstreamRecord.newBuilder().setName("upstream-1").build();

	private List<ReplicationResult> decide(Recipients recipients, long now) {
		this.replication.decide(recipients, now);
		return this.replication.takeResults();
	}

	@Nested
	class Confirmation {

		@Test
		void allLiveInstancesConfirmAtOnce() {
			long id = AnnouncementReplicationTests.this.replication.start(AnnouncementReplicationTests.this.upstream,
					0);
			for (String instance : List.of("control-2", "control-3")) {
				AnnouncementReplicationTests.this.replication.confirmed(id, instance);
				assertThat(decide(ALL, 1)).isEmpty();
			}
			AnnouncementReplicationTests.this.replication.confirmed(id, "gateway-1");
			assertThat(decide(ALL, 2)).containsExactly(new ReplicationResult(id, true));
		}

		@Test
		void majorityOfControlSufficesAfterAWhile() {
			long id = AnnouncementReplicationTests.this.replication.start(AnnouncementReplicationTests.this.upstream,
					0);
			AnnouncementReplicationTests.this.replication.confirmed(id, "control-2");
			assertThat(decide(ALL, AnnouncementReplication.ALL_LIVE_MILLIS - 1)).isEmpty();
			assertThat(decide(ALL, AnnouncementReplication.ALL_LIVE_MILLIS))
				.containsExactly(new ReplicationResult(id, true));
		}

		@Test
		void instanceThatReachesNobodyConfirmsNothing() {
			long id = AnnouncementReplicationTests.this.replication.start(AnnouncementReplicationTests.this.upstream,
					0);
			assertThat(decide(ALONE, AnnouncementReplication.ALL_LIVE_MILLIS)).isEmpty();
			assertThat(decide(ALONE, AnnouncementReplication.MAJORITY_MILLIS))
				.containsExactly(new ReplicationResult(id, false));
		}

	}

	@Nested
	class Messages {

		@Test
		void unconfirmedInstancesAreSentTheRecordAgain() {
			long id = AnnouncementReplicationTests.this.replication.start(AnnouncementReplicationTests.this.upstream,
					0);
			AnnouncementReplicationTests.this.replication.confirmed(id, "control-2");
			AnnouncementReplicationTests.this.replication.confirmed(id, "control-3");
			decide(ALL, AnnouncementReplication.ALL_LIVE_MILLIS);
			assertThat(AnnouncementReplicationTests.this.replication.due(ALL)).extracting(Outgoing::address)
				.containsExactly("g:1");
			decide(ALL, AnnouncementReplication.REPEAT_MILLIS);
			assertThat(AnnouncementReplicationTests.this.replication.due(ALL)).isEmpty();
		}

		@Test
		void sameRecordJoinsTheReplicationUnderWay() {
			long id = AnnouncementReplicationTests.this.replication.start(AnnouncementReplicationTests.this.upstream,
					0);
			assertThat(
					AnnouncementReplicationTests.this.replication.start(AnnouncementReplicationTests.this.upstream, 5))
				.isEqualTo(id);
		}

	}

}
