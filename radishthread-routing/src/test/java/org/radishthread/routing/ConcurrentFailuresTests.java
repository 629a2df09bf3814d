package org.radishthread.routing;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for attempts at one upstream that fail at the same time.
 */
class ConcurrentFailuresTests {

	private static final String UPSTREAM = "one";

	private static final int SLOTS = 40;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long TICK_MILLIS = 10;

	private static final long MAXIMUM_EJECTION_MILLIS = 2_500;

	private final ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"),
			RouterSettings.defaults("zone-1", 4), 0);

	private long nowMillis;

	private long lastRequestId;

	private List<RoutingEffect> admit() {
		long nowNanos = this.nowMillis * NANOS_PER_MILLI;
		long requestId = ++this.lastRequestId;
		return this.router.admit(
				new RoutingRequest(requestId, "caller-" + requestId, true, nowNanos + 60_000 * NANOS_PER_MILLI),
				nowNanos);
	}

	// Advances the time by a tick; the upstream accepts connections.
	private void tick() {
		this.nowMillis += TICK_MILLIS;
		for (RoutingEffect effect : this.router.tick(this.nowMillis * NANOS_PER_MILLI)) {
			if (effect instanceof ConnectionProbe) {
				this.router.recordConnectionProbe(UPSTREAM, true, this.nowMillis * NANOS_PER_MILLI);
			}
		}
	}

	// Guards against an upstream that is left out for half a minute after one event, for
	// which each of the attempts in flight counted as a failure after its return.
	@ParameterizedTest
	@EnumSource(names = { "FAILURE", "CONNECTION_LOST", "UNREACHABLE" })
	void failuresOfAttemptsInFlightEjectTheUpstreamOnce(AttemptResult result) {
		this.router.updateUpstreams(List.of(new Upstream(UPSTREAM, "10.0.0.1:80", "zone-1", SLOTS, 1, true)), 0);
		List<Long> requestIds = new ArrayList<>();
		for (int request = 0; request < SLOTS / 2; request++) {
			admit().stream()
				.filter(Dispatch.class::isInstance)
				.forEach((dispatch) -> requestIds.add(((Dispatch) dispatch).requestId()));
		}
		assertThat(requestIds).hasSizeGreaterThan(8);
		for (long requestId : requestIds) {
			this.router.completeAttempt(requestId, UPSTREAM, result, this.nowMillis * NANOS_PER_MILLI);
			this.router.close(requestId);
		}
		while (this.nowMillis < MAXIMUM_EJECTION_MILLIS) {
			tick();
		}
		assertThat(admit()).anyMatch(Dispatch.class::isInstance);
	}

}
