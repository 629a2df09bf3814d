package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for the limit that an upstream names, over all instances: it holds also
 * when the home of the service changes, and when instances route without it.
 */
class UpstreamRateLimitProperties {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long TIMEOUT_MILLIS = 800;

	private static final long DURATION_MILLIS = 14_000;

	// The platform expects the limit to hold this long after it was named first, of
	// instances that forwarded such a response half a second before.
	private static final long STABLE_MILLIS = 3_000;

	private static final long TOLD_MILLIS = 500;

	private static final int WINDOW_MILLIS = 4_000;

	@Property(tries = 40)
	void instancesTogetherKeepTheLimit(@ForAll @DoubleRange(min = 0, max = 30) double limitPerSecond,
			@ForAll @IntRange(min = 2, max = 20) int gatewayCount, @ForAll @IntRange(min = 3, max = 40) int slots,
			@ForAll @IntRange(min = 5, max = 500) int serviceMillis, @ForAll @IntRange(min = 0, max = 3) int moves,
			@ForAll boolean withoutHomeAtTimes, @ForAll long seed) {
		Fleet fleet = new Fleet(gatewayCount, slots, serviceMillis, limitPerSecond, moves, new Random(seed));
		fleet.withoutHomeAtTimes = withoutHomeAtTimes;
		while (fleet.nowMillis < DURATION_MILLIS) {
			fleet.step();
		}
		assertThat(fleet.servedCount).isPositive();
		int sentInWindow = 0;
		for (int millis = 0; millis < DURATION_MILLIS; millis++) {
			sentInWindow += fleet.sentByMillis[millis];
			if (millis >= WINDOW_MILLIS) {
				sentInWindow -= fleet.sentByMillis[millis - WINDOW_MILLIS];
			}
			if (millis >= fleet.namedMillis + STABLE_MILLIS + WINDOW_MILLIS) {
				assertThat((double) sentInWindow).as("requests in 4 s until %d ms", millis)
					.isLessThanOrEqualTo(1.5 * limitPerSecond * WINDOW_MILLIS / 1_000 + 5);
			}
		}
	}

	private static final class Fleet {

		private static final String LIMITED = "limited";

		private final List<ServiceRouter> routers = new ArrayList<>();

		private final List<UpstreamConstraints> constraints = new ArrayList<>();

		private final long[] toldMillis;

		private final Map<Long, Assignment> assignments = new HashMap<>();

		private final Queue<Attempt> attempts = new ArrayDeque<>();

		private final int serviceMillis;

		private final double limitPerSecond;

		private final List<Long> moveMillis = new ArrayList<>();

		private final Random random;

		private final int[] sentByMillis = new int[(int) DURATION_MILLIS];

		private boolean withoutHomeAtTimes;

		private int home;

		private long lastRequestId;

		private long namedMillis = Long.MAX_VALUE / 2;

		private long nowMillis;

		private int servedCount;

		private Fleet(int gatewayCount, int slots, int serviceMillis, double limitPerSecond, int moves, Random random) {
			this.serviceMillis = serviceMillis;
			this.limitPerSecond = limitPerSecond;
			this.random = random;
			this.toldMillis = new long[gatewayCount];
			for (int i = 0; i < gatewayCount; i++) {
				ServiceRouter router = new ServiceRouter(ServiceRule.defaults("rotaboard"), "bastrop", 4, 0);
				router.updateUpstreams(List.of(new Upstream(LIMITED, "127.0.0.1:1", "bastrop", slots, 1, true),
						new Upstream("other", "127.0.0.1:2", "bastrop", slots, 1, true)), 0);
				this.routers.add(router);
				this.constraints.add(new UpstreamConstraints());
				this.toldMillis[i] = Long.MAX_VALUE / 2;
			}
			for (int i = 0; i < moves; i++) {
				this.moveMillis.add((long) (i + 1) * WINDOW_MILLIS + random.nextInt(500));
			}
		}

		private long nowNanos() {
			return this.nowMillis * NANOS_PER_MILLI;
		}

		private void step() {
			while (!this.attempts.isEmpty() && this.attempts.peek().endMillis() <= this.nowMillis) {
				complete(this.attempts.remove());
			}
			if (this.moveMillis.contains(this.nowMillis)) {
				this.home = (this.home + 1) % this.routers.size();
			}
			if (this.nowMillis % 5 == 0) {
				admit();
			}
			for (ServiceRouter router : this.routers) {
				execute(router.tick(nowNanos()));
			}
			this.nowMillis++;
		}

		private void admit() {
			int gateway = this.random.nextInt(this.routers.size());
			boolean withHome = !this.withoutHomeAtTimes || this.random.nextInt(10) > 0;
			ServiceRouter router = this.routers.get(withHome ? this.home : gateway);
			long id = ++this.lastRequestId;
			this.assignments.put(id, new Assignment(gateway, router));
			execute(router.admit(new RoutingRequest(id, "caller", true, nowNanos() + TIMEOUT_MILLIS * NANOS_PER_MILLI,
					"", Urgency.NORMAL, 2, "gateway-" + gateway), withHome, nowNanos()));
		}

		private void execute(List<RoutingEffect> effects) {
			for (RoutingEffect effect : effects) {
				if (effect instanceof RoutingEffect.Dispatch dispatch) {
					send(dispatch);
				}
				else if (effect instanceof RoutingEffect.Refusal refusal) {
					this.assignments.get(refusal.requestId()).router().close(refusal.requestId());
				}
			}
		}

		private void send(RoutingEffect.Dispatch dispatch) {
			Assignment assignment = this.assignments.get(dispatch.requestId());
			String upstream = dispatch.upstream().name();
			LoadReport constraint = this.constraints.get(assignment.gateway())
				.find(upstream, dispatch.limitCounted(), nowNanos());
			if (constraint != null) {
				execute(assignment.router()
					.completeAttempt(dispatch.requestId(), upstream, AttemptResult.CANCELLED, constraint, nowNanos()));
				execute(assignment.router().retry(dispatch.requestId(), nowNanos()));
				return;
			}
			this.attempts.add(new Attempt(dispatch.requestId(), upstream, this.nowMillis + this.serviceMillis));
			if (upstream.equals(LIMITED) && this.toldMillis[assignment.gateway()] + TOLD_MILLIS <= this.nowMillis) {
				this.sentByMillis[(int) this.nowMillis]++;
			}
		}

		private void complete(Attempt attempt) {
			Assignment assignment = this.assignments.get(attempt.requestId());
			LoadReport report = null;
			if (attempt.upstream().equals(LIMITED)) {
				report = LoadReport.limitedTo(this.limitPerSecond);
				this.namedMillis = Math.min(this.namedMillis, this.nowMillis);
				this.toldMillis[assignment.gateway()] = Math.min(this.toldMillis[assignment.gateway()], this.nowMillis);
			}
			this.servedCount++;
			this.constraints.get(assignment.gateway()).recordLimit(attempt.upstream(), report, AttemptResult.SUCCESS);
			execute(assignment.router()
				.completeAttempt(attempt.requestId(), attempt.upstream(), AttemptResult.SUCCESS, report, nowNanos()));
			assignment.router().close(attempt.requestId());
		}

		private record Assignment(int gateway, ServiceRouter router) {
		}

		private record Attempt(long requestId, String upstream, long endMillis) {
		}

	}

}
