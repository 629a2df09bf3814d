package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for {@link ServiceRouter}: checks random sequences of events against a
 * model that counts the attempts in flight.
 */
class ServiceRouterProperties {

	private static final int SLOTS = 3;

	@Property(tries = 800, seed = "20261205", shrinking = ShrinkingMode.OFF)
	void everyRequestCompletes(@ForAll("eventSequences") ActionChain<Model> eventSequence) {
		Model model = eventSequence.run();
		model.completeAllRequests();
		assertThat(model.router.openRequests()).as("requests that are not closed").isZero();
		assertThat(model.router.queuedRequests()).as("queued requests").isZero();
	}

	@Provide
	Arbitrary<ActionChain<Model>> eventSequences() {
		return ActionChain.startWith(Model::new)
			.withAction(12, action("admit", (model, number) -> model.admit(number)))
			.withAction(10, action("succeed", (model, number) -> model.completeAttempt(number, AttemptResult.SUCCESS)))
			.withAction(4, action("fail", (model, number) -> model.completeAttempt(number, AttemptResult.FAILURE)))
			.withAction(2, action("shed", (model, number) -> model.completeAttempt(number, AttemptResult.SHED)))
			.withAction(3, action("hedge", (model, number) -> model.hedge(number)))
			.withAction(3, action("cancel queued", (model, number) -> model.cancelQueued(number)))
			.withAction(2, action("close in flight", (model, number) -> model.closeInFlight(number)))
			.withAction(2, action("toggle accepting", (model, number) -> model.toggleAccepting(number)))
			.withAction(2, action("toggle announced", (model, number) -> model.toggleAnnounced(number)))
			.withAction(4, action("tick", (model, number) -> model.tick(number)))
			.withMaxTransformations(150);
	}

	private static Action.Independent<Model> action(String name, BiConsumer<Model, Integer> change) {
		return () -> Arbitraries.integers()
			.between(0, 10_000)
			.map((number) -> Transformer.mutate(name + " " + number, (model) -> change.accept(model, number)));
	}

	/**
	 * The expected state of the router: attempts in flight, queued requests and the
	 * announced upstreams, with whether they accept requests.
	 */
	static final class Model {

		final ServiceRouter router = new ServiceRouter(
				new ServiceRule("service", 6, Duration.ofMillis(300), 50, 0, 20, 3), "zone-0", 1, 0);

		private final Map<String, Boolean> acceptingByUpstream = new HashMap<>();

		private final Map<Long, Set<String>> upstreamsInFlight = new HashMap<>();

		private final Map<Long, RoutingRequest> queued = new HashMap<>();

		private final Map<Long, Integer> attemptCounts = new HashMap<>();

		private final Set<Long> closedInFlight = new HashSet<>();

		private long nowNanos;

		private long lastRequestId;

		private int successfulAttempts;

		private int retriesAndHedges;

		Model() {
			for (int i = 0; i < 3; i++) {
				this.acceptingByUpstream.put("upstream-" + i, true);
			}
			announce();
		}

		private void announce() {
			List<Upstream> upstreams = new ArrayList<>();
			this.acceptingByUpstream.forEach((upstream, accepting) -> upstreams
				.add(new Upstream(upstream, "127.0.0.1:1", "zone-0", SLOTS, 1, accepting)));
			perform(this.router.updateUpstreams(upstreams, this.nowNanos));
		}

		void admit(int number) {
			RoutingRequest request = new RoutingRequest(++this.lastRequestId, "caller-" + number % 4, number % 2 == 0,
					this.nowNanos + 1_000_000_000L);
			this.queued.put(request.id(), request);
			perform(this.router.admit(request, this.nowNanos));
		}

		private void perform(List<RoutingEffect> effects) {
			for (RoutingEffect effect : effects) {
				if (effect instanceof Dispatch dispatch) {
					recordDispatch(dispatch);
				}
				else if (effect instanceof Refusal refusal) {
					recordRefusal(refusal);
				}
			}
		}

		private void recordDispatch(Dispatch dispatch) {
			String upstream = dispatch.upstream().name();
			assertThat(this.acceptingByUpstream.get(upstream)).as("%s accepts requests", upstream).isEqualTo(true);
			boolean added = this.upstreamsInFlight.computeIfAbsent(dispatch.requestId(), (id) -> new HashSet<>())
				.add(upstream);
			assertThat(added).as("one attempt at an upstream").isTrue();
			assertThat(inFlightAt(upstream)).as("attempts at %s", upstream).isLessThanOrEqualTo(2 * SLOTS);
			assertThat(dispatch.inFlight()).isEqualTo(inFlightAt(upstream));
			int requestAttempts = this.attemptCounts.merge(dispatch.requestId(), 1, Integer::sum);
			assertThat(requestAttempts).as("attempts of a request").isLessThanOrEqualTo(3);
			this.retriesAndHedges += (dispatch.kind() == AttemptKind.FIRST) ? 0 : 1;
			assertThat(this.retriesAndHedges).as("retries and hedges")
				.isLessThanOrEqualTo(10 + this.successfulAttempts / 5 + 1);
			this.queued.remove(dispatch.requestId());
		}

		private long inFlightAt(String upstream) {
			return this.upstreamsInFlight.values().stream().filter((upstreams) -> upstreams.contains(upstream)).count();
		}

		private void recordRefusal(Refusal refusal) {
			assertThat(refusal.retryAfterMillis()).as("delay before a retry by the caller").isPositive();
			assertThat(this.upstreamsInFlight).as("refused request has no attempt")
				.doesNotContainKey(refusal.requestId());
			this.queued.remove(refusal.requestId());
			this.router.close(refusal.requestId());
		}

		void completeAttempt(int number, AttemptResult result) {
			List<Long> requestIds = new ArrayList<>(this.upstreamsInFlight.keySet());
			if (requestIds.isEmpty()) {
				return;
			}
			long requestId = requestIds.get(number % requestIds.size());
			Set<String> upstreams = this.upstreamsInFlight.get(requestId);
			String upstream = upstreams.iterator().next();
			upstreams.remove(upstream);
			if (upstreams.isEmpty()) {
				this.upstreamsInFlight.remove(requestId);
			}
			this.nowNanos += 1_000_000;
			this.successfulAttempts += (result == AttemptResult.SUCCESS) ? 1 : 0;
			perform(this.router.completeAttempt(requestId, upstream, result, this.nowNanos));
			if (this.closedInFlight.contains(requestId)) {
				assertThat(this.router.retry(requestId, this.nowNanos)).as("retry of a closed request").isEmpty();
				return;
			}
			if (result == AttemptResult.SUCCESS) {
				closeServed(requestId);
			}
			else if (upstreams.isEmpty()) {
				this.queued.put(requestId, new RoutingRequest(requestId, "", true, 0));
				perform(this.router.retry(requestId, this.nowNanos));
			}
		}

		private void closeServed(long requestId) {
			Set<String> otherUpstreams = this.upstreamsInFlight.remove(requestId);
			if (otherUpstreams != null) {
				otherUpstreams.forEach((upstream) -> perform(
						this.router.completeAttempt(requestId, upstream, AttemptResult.CANCELLED, this.nowNanos)));
			}
			this.router.close(requestId);
		}

		void hedge(int number) {
			List<Long> requestIds = new ArrayList<>(this.upstreamsInFlight.keySet());
			if (!requestIds.isEmpty()) {
				perform(this.router.hedge(requestIds.get(number % requestIds.size()), this.nowNanos));
			}
		}

		void cancelQueued(int number) {
			List<Long> requestIds = new ArrayList<>(this.queued.keySet());
			if (!requestIds.isEmpty()) {
				long requestId = requestIds.get(number % requestIds.size());
				this.queued.remove(requestId);
				this.router.close(requestId);
			}
		}

		// Closes a request before its attempts have completed.
		void closeInFlight(int number) {
			List<Long> requestIds = new ArrayList<>(this.upstreamsInFlight.keySet());
			if (!requestIds.isEmpty()) {
				long requestId = requestIds.get(number % requestIds.size());
				this.closedInFlight.add(requestId);
				this.router.close(requestId);
			}
		}

		void toggleAccepting(int number) {
			String upstream = "upstream-" + number % 3;
			this.acceptingByUpstream.computeIfPresent(upstream, (key, accepting) -> !accepting);
			announce();
		}

		void toggleAnnounced(int number) {
			String upstream = "upstream-" + number % 3;
			if (this.acceptingByUpstream.remove(upstream) == null) {
				this.acceptingByUpstream.put(upstream, true);
			}
			announce();
		}

		void tick(int number) {
			this.nowNanos += number * 50_000L;
			perform(this.router.tick(this.nowNanos));
		}

		void completeAllRequests() {
			while (!this.upstreamsInFlight.isEmpty()) {
				completeAttempt(0, AttemptResult.SUCCESS);
			}
			this.nowNanos += 10_000_000_000L;
			perform(this.router.tick(this.nowNanos));
			while (!this.upstreamsInFlight.isEmpty()) {
				completeAttempt(0, AttemptResult.SUCCESS);
			}
			assertThat(this.queued).as("requests without a decision").isEmpty();
		}

	}

}
