package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the shares of workspaces that compete for the slots of a service.
 */
class WorkspaceShareTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long SERVICE_MILLIS = 100;

	private static final long OBJECTIVE_MILLIS = 400;

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final long DURATION_MILLIS = 6_000;

	private static final long TICK_MILLIS = 10;

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("service", 2_000, Duration.ofSeconds(60), 50, 0, 100, 3), "zone", 1, 0);

	private final VirtualTime time = new VirtualTime();

	private final Map<String, long[]> slotsFreeNanos = new HashMap<>();

	private final Map<Long, String> openWorkspaces = new HashMap<>();

	private final Map<String, Tally> tallies = new HashMap<>();

	private final Map<Long, Long> objectivesNanos = new HashMap<>();

	private long lastRequestId;

	private void announceUpstreams(int upstreamCount, int slots) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < upstreamCount; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:" + (1 + i), "zone", slots, 1, true));
			this.slotsFreeNanos.put("upstream-" + i, new long[slots]);
		}
		execute(this.router.updateUpstreams(upstreams, 0));
		for (long millis = TICK_MILLIS; millis < DURATION_MILLIS + TIMEOUT_MILLIS; millis += TICK_MILLIS) {
			this.time.schedule(millis * NANOS_PER_MILLI, () -> execute(this.router.tick(this.time.nowNanos())));
		}
	}

	// Each request has another caller address. None comes back.
	private void sendAtIntervals(String workspace, double perSecond, int priority) {
		double intervalNanos = 1_000 * NANOS_PER_MILLI / perSecond;
		for (double nanos = intervalNanos / 2; nanos < DURATION_MILLIS * NANOS_PER_MILLI; nanos += intervalNanos) {
			this.time.schedule((long) nanos, () -> send(workspace, priority));
		}
	}

	private void send(String workspace, int priority) {
		long id = ++this.lastRequestId;
		long nowNanos = this.time.nowNanos();
		long objectiveNanos = nowNanos + OBJECTIVE_MILLIS * NANOS_PER_MILLI;
		this.openWorkspaces.put(id, workspace);
		this.objectivesNanos.put(id, objectiveNanos);
		this.tallies.computeIfAbsent(workspace, (name) -> new Tally()).requests++;
		execute(this.router
			.admit(new RoutingRequest(id, "caller-" + id, false, nowNanos + TIMEOUT_MILLIS * NANOS_PER_MILLI, "",
					new Urgency(priority, objectiveNanos), 1, "", "", workspace), nowNanos));
	}

	private void execute(List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof Dispatch dispatch) {
				long[] slots = this.slotsFreeNanos.get(dispatch.upstream().name());
				Arrays.sort(slots);
				slots[0] = Math.max(slots[0], this.time.nowNanos()) + SERVICE_MILLIS * NANOS_PER_MILLI;
				this.time.schedule(slots[0] - this.time.nowNanos(), () -> complete(dispatch));
			}
			else if (effect instanceof Refusal refusal) {
				this.openWorkspaces.remove(refusal.requestId());
				this.router.close(refusal.requestId());
			}
		}
	}

	private void complete(Dispatch dispatch) {
		Tally tally = this.tallies.get(this.openWorkspaces.remove(dispatch.requestId()));
		if (this.time.nowNanos() <= this.objectivesNanos.get(dispatch.requestId())) {
			tally.inTime++;
		}
		execute(this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.SUCCESS,
				this.time.nowNanos()));
		this.router.close(dispatch.requestId());
	}

	private void run() {
		this.time.runUntil((DURATION_MILLIS + TIMEOUT_MILLIS) * NANOS_PER_MILLI);
	}

	private double shareInTime(String workspace) {
		Tally tally = this.tallies.get(workspace);
		return (double) tally.inTime / tally.requests;
	}

	@Nested
	class OneWorkspaceAtManyTimesItsUsual {

		private static final double LIGHT_PER_SECOND = 5;

		private static final int LIGHT_WORKSPACES = 9;

		// All upstreams together complete 200 requests a second.
		private static final double CAPACITY_PER_SECOND = 200;

		@ParameterizedTest
		@CsvSource({ "10, 2", "4, 5" })
		void workspacesBelowTheirShareAreServedInTime(int upstreamCount, int slots) {
			announceUpstreams(upstreamCount, slots);
			for (int i = 0; i < LIGHT_WORKSPACES; i++) {
				sendAtIntervals("light-" + i, LIGHT_PER_SECOND + 0.01 * i, 1);
			}
			sendAtIntervals("hot", 2 * CAPACITY_PER_SECOND, 1);
			run();
			for (int i = 0; i < LIGHT_WORKSPACES; i++) {
				assertThat(shareInTime("light-" + i)).as("light-" + i).isGreaterThanOrEqualTo(0.95);
			}
			double leftOver = CAPACITY_PER_SECOND - LIGHT_WORKSPACES * LIGHT_PER_SECOND;
			assertThat(shareInTime("hot")).as("what the others leave is used")
				.isGreaterThanOrEqualTo(0.85 * leftOver / (2 * CAPACITY_PER_SECOND));
		}

	}

	@Nested
	class SharesThatOthersLeave {

		@Test
		void oneWorkspaceMayUseTheWholeServiceWhileOthersAreAlmostIdle() {
			announceUpstreams(4, 5);
			sendAtIntervals("busy", 150, 1);
			sendAtIntervals("idle", 1, 1);
			run();
			assertThat(shareInTime("busy")).isGreaterThanOrEqualTo(0.95);
			assertThat(shareInTime("idle")).isGreaterThanOrEqualTo(0.95);
		}

	}

	private static final class Tally {

		private int requests;

		private int inTime;

	}

}
