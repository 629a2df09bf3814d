package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for a service that gets the requests of another route than before.
 */
class MovedRouteTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int UPSTREAMS = 6;

	private static final long TICK_MILLIS = 10;

	private final VirtualTime time = new VirtualTime();

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("service", 256, Duration.ofSeconds(1), 100, 20, 1_000, 3), "zone-0", 4, 0);

	private final Map<Long, Long> serviceMillis = new HashMap<>();

	private long served;

	private long lastRequestId;

	MovedRouteTests() {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < UPSTREAMS; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:1", "zone-" + i % 3, 6, 1, true));
		}
		this.router.updateUpstreams(upstreams, 0);
		tick();
	}

	private void tick() {
		perform(this.router.tick(this.time.nowNanos()));
		this.time.schedule(TICK_MILLIS * NANOS_PER_MILLI, this::tick);
	}

	private void sendRequests(long fromMillis, long toMillis, long intervalMillis, long requestMillis,
			long deadlineMillis, boolean mayRepeat) {
		for (long millis = fromMillis; millis < toMillis; millis += intervalMillis) {
			this.time.schedule(millis * NANOS_PER_MILLI - this.time.nowNanos(),
					() -> admit(requestMillis, deadlineMillis, mayRepeat));
		}
	}

	private void admit(long requestMillis, long deadlineMillis, boolean mayRepeat) {
		long id = ++this.lastRequestId;
		this.serviceMillis.put(id, requestMillis);
		long nowNanos = this.time.nowNanos();
		Urgency urgency = new Urgency(1, nowNanos + deadlineMillis / 4 * NANOS_PER_MILLI);
		perform(this.router.admit(new RoutingRequest(id, "caller-" + id, mayRepeat,
				nowNanos + deadlineMillis * NANOS_PER_MILLI, "", urgency, 2, "gateway"), nowNanos));
	}

	private void perform(List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				long durationNanos = this.serviceMillis.getOrDefault(dispatch.requestId(), 0L) * NANOS_PER_MILLI;
				this.time.schedule(durationNanos, () -> complete(dispatch));
			}
			else if (effect instanceof Refusal refusal) {
				this.router.close(refusal.requestId());
			}
		}
	}

	private void complete(Dispatch dispatch) {
		this.served++;
		List<RoutingEffect> effects = this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(),
				AttemptResult.SUCCESS, this.time.nowNanos());
		this.router.close(dispatch.requestId());
		perform(effects);
	}

	// A route was moved to a service whose former requests took longer than the new ones
	// may: none of these was ever sent, and the estimate never changed.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void routeThatIsMovedToAServiceOfSlowRequestsIsServed(boolean mayRepeat) {
		sendRequests(0, 20_000, 200, 3_000, 8_000, mayRepeat);
		this.time.runUntil(25_000 * NANOS_PER_MILLI);
		sendRequests(25_000, 35_000, 20, 160, 2_000, mayRepeat);
		this.time.runUntil(29_000 * NANOS_PER_MILLI);
		long servedBefore = this.served;
		this.time.runUntil(36_000 * NANOS_PER_MILLI);
		assertThat(this.served - servedBefore).isGreaterThanOrEqualTo(6_000 / 20 * 95 / 100);
	}

}
