package org.radishthread.daemon.gateway;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.SlotClose;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotProbe;
import org.radishthread.protocol.SlotRetry;
import org.radishthread.routing.AttemptResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotGranter}, the home of a service.
 */
class SlotGranterTests {

	private static final String GATEWAY = "10.0.0.2:7000";

	private static final long REQUEST_ID = 7;

	private static final long REMAINING_MICROS = 1_000_000;

	// The deadline and the time after it for the report of an attempt.
	private static final long EXPIRY_NANOS = 2_100_000_000L;

	@TempDir
	private Path directory;

	private final List<SlotMessage> sentMessages = new ArrayList<>();

	private long nowNanos;

	private long incarnation = 1;

	private boolean mayGrant = true;

	private GatewayServices services;

	private SlotGranter granter;

	@BeforeEach
	void start() throws Exception {
		this.services = new GatewayServices(this.directory);
		this.services.announceUpstream(10);
		TimeSource systemTime = this.services.time();
		long startNanos = systemTime.monotonicNanos();
		this.granter = new SlotGranter("10.0.0.1:7000", this.services.routing(), new LiveGateways() {

			@Override
			public boolean mayGrant() {
				return SlotGranterTests.this.mayGrant;
			}

			@Override
			public long incarnation(String peerAddress) {
				return SlotGranterTests.this.incarnation;
			}

		}, new TimeSource() {

			@Override
			public long monotonicNanos() {
				return startNanos + SlotGranterTests.this.nowNanos;
			}

			@Override
			public long wallClockMillis() {
				return systemTime.wallClockMillis();
			}

		}, (address, message) -> this.sentMessages.add(message));
	}

	@AfterEach
	void stop() {
		this.services.close();
	}

	private void receive(long ticket, Consumer<SlotMessage.Builder> content) {
		SlotMessage.Builder message = SlotMessage.newBuilder()
			.setRun(42)
			.setTicket(ticket)
			.setService(GatewayServices.SERVICE);
		content.accept(message);
		this.granter.receive(GATEWAY, message.build());
	}

	private void requestSlot(long ticket) {
		receive(ticket,
				(message) -> message.getRequestBuilder()
					.setCaller("caller")
					.setRemainingMicros(REMAINING_MICROS)
					.setMaximumAttempts(3));
	}

	private void requestSlot() {
		requestSlot(REQUEST_ID);
	}

	private void endAttempt(long ticket) {
		receive(ticket,
				(message) -> message.getEndBuilder()
					.setUpstream("upstream-1")
					.setResult(AttemptResult.CANCELLED.wireName()));
	}

	private void endAttempt() {
		endAttempt(REQUEST_ID);
	}

	private void close() {
		receive(REQUEST_ID, (message) -> message.setClose(SlotClose.getDefaultInstance()));
	}

	private void expire() {
		this.nowNanos = EXPIRY_NANOS;
		this.granter.closeExpired();
	}

	// The number that the home counts besides another request.
	private int inFlight() {
		requestSlot(REQUEST_ID + 1);
		SlotMessage grant = this.sentMessages.remove(this.sentMessages.size() - 1);
		endAttempt(REQUEST_ID + 1);
		receive(REQUEST_ID + 1, (message) -> message.setClose(SlotClose.getDefaultInstance()));
		return grant.getGrant().getInFlight() - 1;
	}

	private List<SlotMessage.BodyCase> sentBodies() {
		return this.sentMessages.stream().map(SlotMessage::getBodyCase).toList();
	}

	@Nested
	class Grants {

		// Guards against gateways that can't tell how old the decision of the home is.
		@Test
		void grantNamesTheAnnouncementThatTheHomeKnows() {
			SlotGranterTests.this.services.announceUpstream(10);
			requestSlot();
			assertThat(SlotGranterTests.this.sentMessages).singleElement().satisfies((message) -> {
				assertThat(message.getGrant().getIncarnation()).isEqualTo(1);
				assertThat(message.getGrant().getSequence()).isEqualTo(2);
			});
		}

		// Guards against further grants of an upstream that has left, as a gateway knows.
		@Test
		void returnedUpstreamIsNotGrantedAgain() {
			requestSlot();
			receive(REQUEST_ID, (message) -> {
				message.getEndBuilder()
					.setUpstream("upstream-1")
					.setResult(AttemptResult.RETURNED.wireName())
					.setConnectionLost(AttemptResult.RETURNED.isMarked());
				message.getEndBuilder().getLoadBuilder().setLeaving(true).setIncarnation(1).setSequence(1_000_001);
			});
			requestSlot(REQUEST_ID + 1);
			assertThat(sentBodies()).containsExactly(SlotMessage.BodyCase.GRANT, SlotMessage.BodyCase.REFUSAL);
		}

	}

	@Nested
	class Probes {

		private void probe() {
			receive(5, (message) -> message.setProbe(SlotProbe.getDefaultInstance()));
		}

		@Test
		void probeIsRespondedToWithItsNumber() {
			probe();
			assertThat(SlotGranterTests.this.sentMessages).singleElement().satisfies((message) -> {
				assertThat(message.getProbe().getResponse()).isTrue();
				assertThat(message.getTicket()).isEqualTo(5);
				assertThat(message.getRun()).isEqualTo(42);
			});
		}

		@Test
		void instanceThatGrantsNoSlotsDoesNotRespond() {
			SlotGranterTests.this.mayGrant = false;
			probe();
			assertThat(SlotGranterTests.this.sentMessages).isEmpty();
		}

	}

	@Nested
	class ExpiredRequests {

		// Guards against an upstream that gets more requests than it has slots: an upload
		// may take longer than the time that its route allows without progress.
		@Test
		void slotOfAnAttemptThatItsGatewayMayStillMakeIsKept() {
			requestSlot();
			expire();
			assertThat(inFlight()).isEqualTo(1);
			assertThat(sentBodies()).containsExactly(SlotMessage.BodyCase.GRANT, SlotMessage.BodyCase.GRANT);
			endAttempt();
			assertThat(inFlight()).isZero();
		}

		// Guards against slots that are never freed after the messages that end and close
		// a request were lost: its gateway returns the grant that is sent again.
		@Test
		void slotIsFreedOnceItsGatewayReturnsTheGrant() {
			requestSlot();
			expire();
			endAttempt();
			close();
			assertThat(inFlight()).isZero();
			expire();
			assertThat(SlotGranterTests.this.sentMessages).hasSize(2);
		}

		@Test
		void slotOfAGatewayThatIsNotLiveIsFreed() {
			requestSlot();
			SlotGranterTests.this.incarnation = LiveGateways.NOT_LIVE;
			expire();
			assertThat(inFlight()).isZero();
		}

		// Guards against slots that are never freed: a gateway does not answer messages
		// about a former run.
		@Test
		void slotOfAGatewayThatWasStartedAgainIsFreed() {
			requestSlot();
			SlotGranterTests.this.incarnation = 2;
			expire();
			assertThat(inFlight()).isZero();
		}

	}

	@Nested
	class Retries {

		private String firstUpstream;

		// Uses all slots; the last of the other requests waits.
		@BeforeEach
		void useAllSlots() {
			SlotGranterTests.this.services.announceUpstreams(2, 1);
			requestSlot();
			this.firstUpstream = lastMessage().getGrant().getUpstream();
			long ticket = REQUEST_ID;
			while (!lastMessage().hasQueued()) {
				ticket++;
				assertThat(ticket).isLessThan(REQUEST_ID + 20);
				requestSlot(ticket);
			}
			SlotGranterTests.this.sentMessages.clear();
		}

		private SlotMessage lastMessage() {
			return SlotGranterTests.this.sentMessages.get(SlotGranterTests.this.sentMessages.size() - 1);
		}

		// Guards against callers that are refused because of a silent home, while their
		// requests wait at the home for a slot.
		@Test
		void gatewayIsToldThatARetryWaits() {
			receive(REQUEST_ID,
					(message) -> message.getEndBuilder()
						.setUpstream(this.firstUpstream)
						.setResult(AttemptResult.SHED.wireName()));
			receive(REQUEST_ID, (message) -> message.setRetry(SlotRetry.getDefaultInstance()));
			assertThat(lastMessage().getTicket()).isEqualTo(REQUEST_ID);
			assertThat(lastMessage().getBodyCase()).isEqualTo(SlotMessage.BodyCase.QUEUED);
			requestSlot();
			assertThat(lastMessage().getBodyCase()).isEqualTo(SlotMessage.BodyCase.QUEUED);
		}

	}

	@Nested
	class RepeatedRequests {

		// Guards against a second slot for a request whose grant was lost.
		@Test
		void grantIsSentAgain() {
			requestSlot();
			requestSlot();
			assertThat(sentBodies()).containsExactly(SlotMessage.BodyCase.GRANT, SlotMessage.BodyCase.GRANT);
			assertThat(inFlight()).isEqualTo(1);
		}

		// Guards against a slot that is never freed: a repeated request that arrives
		// after the request was closed is new, and its gateway returns the grant.
		@Test
		void slotOfARequestThatWasClosedBeforeItsRepetitionIsFreed() {
			requestSlot();
			endAttempt();
			close();
			requestSlot();
			assertThat(inFlight()).isEqualTo(1);
			endAttempt();
			close();
			assertThat(inFlight()).isZero();
		}

	}

}
