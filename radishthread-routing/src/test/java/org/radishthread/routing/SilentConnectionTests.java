package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for attempts on connections that have gone silent, which end long after the
 * upstream could have responded.
 */
class SilentConnectionTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int UPSTREAMS = 6;

	private static final int SLOTS = 6;

	private static final long SERVICE_MILLIS = 160;

	private static final long DEADLINE_MILLIS = 2_000;

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("service", 256, Duration.ofSeconds(1), 100, 20, 1_000, 3), "zone-0", 4, 0);

	private final List<Dispatch> running = new ArrayList<>();

	private long lastRequestId;

	private long nowMillis;

	SilentConnectionTests() {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < UPSTREAMS; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:1", "zone-" + i % 3, SLOTS, 1, true));
		}
		this.router.updateUpstreams(upstreams, 0);
	}

	private void admit(boolean mayRepeat) {
		long deadlineMillis = this.nowMillis + DEADLINE_MILLIS;
		Urgency urgency = new Urgency(1, (this.nowMillis + 400) * NANOS_PER_MILLI);
		start(this.router.admit(
				new RoutingRequest(++this.lastRequestId, "caller-" + this.lastRequestId, mayRepeat,
						deadlineMillis * NANOS_PER_MILLI, "", urgency, 2, "gateway-" + this.lastRequestId % 5),
				this.nowMillis * NANOS_PER_MILLI));
	}

	private void start(List<RoutingEffect> effects) {
		effects.stream().filter(Dispatch.class::isInstance).map(Dispatch.class::cast).forEach(this.running::add);
	}

	private void completeRunning(AttemptResult result) {
		List<Dispatch> completed = List.copyOf(this.running);
		this.running.clear();
		for (Dispatch dispatch : completed) {
			start(this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), result,
					this.nowMillis * NANOS_PER_MILLI));
			this.router.close(dispatch.requestId());
		}
	}

	private void serveRounds(int rounds) {
		for (int round = 0; round < rounds; round++) {
			for (int i = 0; i < UPSTREAMS * SLOTS / 2; i++) {
				admit(true);
			}
			this.nowMillis += SERVICE_MILLIS;
			completeRunning(AttemptResult.SUCCESS);
		}
	}

	private void silenceAttempts(int rounds, long attemptMillis) {
		for (int round = 0; round < rounds; round++) {
			for (int i = 0; i < UPSTREAMS * SLOTS / 2; i++) {
				admit(true);
			}
			this.nowMillis += attemptMillis;
			completeRunning(AttemptResult.CANCELLED);
		}
	}

	@Nested
	class AllUpstreams {

		// Seen when all connections went silent three times within three seconds: the
		// home took the expiry of its grants for the time that the upstreams take, so
		// that no request was sent to any of them until all instances were restarted.
		@Test
		void requestIsSentAtOnceAfterTheEndsOfAllAttemptsWereLost() {
			serveRounds(10);
			silenceAttempts(3, DEADLINE_MILLIS + 1_000);
			admit(true);
			assertThat(SilentConnectionTests.this.running).hasSize(1);
		}

		// The same with ends that arrive: each attempt is cancelled at its deadline.
		@Test
		void requestIsSentAtOnceAfterAllAttemptsWereCancelledAtTheirDeadlines() {
			serveRounds(10);
			silenceAttempts(3, DEADLINE_MILLIS);
			admit(true);
			assertThat(SilentConnectionTests.this.running).hasSize(1);
		}

		@Test
		void onceOnlyRequestIsSentAtOnceAfterAllAttemptsWereCancelledAtTheirDeadlines() {
			serveRounds(10);
			silenceAttempts(3, DEADLINE_MILLIS);
			admit(false);
			assertThat(SilentConnectionTests.this.running).hasSize(1);
		}

	}

	@Nested
	class UnreportedCompletions {

		// Seen when the messages to a home were lost: it closed the requests a second
		// after their deadlines and took that for the time of the upstream.
		@Test
		void upstreamIsUsedAfterTheCompletionsOfItsAttemptsWereNotReported() {
			serveRounds(10);
			for (int i = 0; i < UPSTREAMS * SLOTS / 2; i++) {
				admit(true);
			}
			List<Dispatch> unreported = new ArrayList<>(SilentConnectionTests.this.running);
			unreported.removeIf((dispatch) -> !dispatch.upstream().name().equals("upstream-0"));
			SilentConnectionTests.this.running.removeAll(unreported);
			serveRounds((int) (3_000 / SERVICE_MILLIS));
			for (Dispatch dispatch : unreported) {
				start(SilentConnectionTests.this.router.releaseAttempt(dispatch.requestId(), "upstream-0",
						SilentConnectionTests.this.nowMillis * NANOS_PER_MILLI));
				SilentConnectionTests.this.router.close(dispatch.requestId());
			}
			admit(true);
			admit(true);
			assertThat(unreported).isNotEmpty();
			assertThat(SilentConnectionTests.this.running).extracting((dispatch) -> dispatch.upstream().name())
				.contains("upstream-0");
			assertThat(SilentConnectionTests.this.router.inFlight("upstream-0")).isEqualTo(1);
		}

	}

}
