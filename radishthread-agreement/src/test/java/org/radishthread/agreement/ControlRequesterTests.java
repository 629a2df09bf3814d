package org.radishthread.agreement;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.radishthread.agreement.ControlRequester.OutgoingRequest;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.NotLeader;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ControlRequester} while the leader is lost or unknown.
 */
class ControlRequesterTests {

	private static final String OWN = "10.0.0.1:7620";

	private static final String LOST_LEADER = "10.0.0.2:7620";

	private static final String NEW_LEADER = "10.0.0.3:7620";

	private final ControlRequester requester = new ControlRequester();

	private long id;

	ControlRequesterTests() {
		this.requester.updateAddresses(List.of(OWN, LOST_LEADER, NEW_LEADER));
	}

	private List<String> submit(long nowMillis) {
		this.id = this.requester.submit(ControlRequest.getDefaultInstance(), nowMillis + 5_000, nowMillis);
		return sentTo();
	}

	private List<String> sentTo() {
		return this.requester.drain().requests().stream().map(OutgoingRequest::address).toList();
	}

	private void redirect(String leaderAddress, long nowMillis) {
		this.requester.receive(ControlResponse.newBuilder()
			.setId(this.id)
			.setNotLeader(NotLeader.newBuilder().setLeaderAddress(leaderAddress))
			.build(), nowMillis);
	}

	private void respond(long nowMillis) {
		this.requester.receive(ControlResponse.newBuilder().setId(this.id).build(), nowMillis);
	}

	@Test
	void lostLeaderIsNotAskedAfterAQuietTime() {
		this.requester.setOwnAddress(OWN);
		submit(0);
		redirect(LOST_LEADER, 1);
		assertThat(sentTo()).containsExactly(LOST_LEADER);
		respond(2);
		assertThat(submit(500)).containsExactly(LOST_LEADER);
		respond(501);
		assertThat(submit(3_000)).containsExactly(OWN);
		redirect(NEW_LEADER, 3_001);
		assertThat(sentTo()).containsExactly(NEW_LEADER);
	}

	// A control instance asks itself for its status all the time. Its requests still went
	// to a lost leader first, and were answered 0.5 s later.
	@Test
	void lostLeaderIsNotAskedAfterAQuietTimeInWhichAnotherInstanceResponds() {
		this.requester.setOwnAddress(OWN);
		submit(0);
		redirect(LOST_LEADER, 1);
		respond(2);
		this.requester.drain();
		for (long millis = 250; millis < 3_000; millis += 250) {
			this.id = this.requester.submitTo(OWN, ControlRequest.getDefaultInstance(), millis + 1_000, millis);
			respond(millis + 1);
		}
		this.requester.drain();
		assertThat(submit(3_000)).containsExactly(OWN);
		redirect(NEW_LEADER, 3_001);
		assertThat(sentTo()).containsExactly(NEW_LEADER);
	}

	@Test
	void secondRedirectIsFollowedAfterADelay() {
		submit(0);
		redirect(LOST_LEADER, 1);
		assertThat(sentTo()).containsExactly(LOST_LEADER);
		redirect(NEW_LEADER, 2);
		assertThat(sentTo()).isEmpty();
		this.requester.tick(60);
		assertThat(sentTo()).containsExactly(NEW_LEADER);
	}

	@Test
	void requestsAreSentLessOftenTheLongerNoLeaderIsKnown() {
		int sentCount = submit(0).size();
		redirect("", 1);
		for (long millis = 10; millis < 4_000; millis += 10) {
			this.requester.tick(millis);
			int newlySentCount = sentTo().size();
			if (newlySentCount > 0) {
				redirect("", millis);
			}
			sentCount += newlySentCount;
		}
		assertThat(sentCount).isBetween(2, 14);
	}

}
