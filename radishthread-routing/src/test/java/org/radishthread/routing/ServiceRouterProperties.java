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
 * Fuzzes {@link ServiceRouter} against an oracle that counts what is in flight.
 */
class ServiceRouterProperties {

	private static final int SLOTS = 3;

	@Property(tries = 800, seed = "20261205", shrinking = ShrinkingMode.OFF)
	void everyRequestGetsOneAnswer(@ForAll("histories") ActionChain<Model> history) {
		Model model = history.run();
		model.finishAll();
		assertThat(model.router.openRequests()).as("requests that are not closed").isZero();
		assertThat(model.router.queuedRequests()).as("requests that wait").isZero();
	}

	@Provide
	Arbitrary<ActionChain<Model>> histories() {
		return ActionChain.startWith(Model::new)
			.withAction(12, action("admit", (model, n) -> model.admit(n)))
			.withAction(10, action("answer", (model, n) -> model.end(n, AttemptResult.SUCCESS)))
			.withAction(4, action("fail", (model, n) -> model.end(n, AttemptResult.FAILURE)))
			.withAction(2, action("shed", (model, n) -> model.end(n, AttemptResult.SHED)))
			.withAction(3, action("hedge", (model, n) -> model.hedge(n)))
			.withAction(3, action("go away", (model, n) -> model.callerGoesAway(n)))
			.withAction(2, action("abandon", (model, n) -> model.abandon(n)))
			.withAction(2, action("drain", (model, n) -> model.drain(n)))
			.withAction(2, action("leave", (model, n) -> model.leave(n)))
			.withAction(4, action("tick", (model, n) -> model.tick(n)))
			.withMaxTransformations(150);
	}

	private static Action.Independent<Model> action(String name, BiConsumer<Model, Integer> change) {
		return () -> Arbitraries.integers()
			.between(0, 10_000)
			.map((number) -> Transformer.mutate(name + " " + number, (model) -> change.accept(model, number)));
	}

	/**
	 * What the oracle knows: attempts in flight, waiting requests and accepting
	 * upstreams.
	 */
	static final class Model {

		final ServiceRouter router = new ServiceRouter(
				new ServiceRule("service", 6, Duration.ofMillis(300), 50, 0, 20, 3), "zone-0", 1, 0);

		private final Map<String, Boolean> accepting = new HashMap<>();

		private final Map<Long, Set<String>> inFlight = new HashMap<>();

		private final Map<Long, RoutingRequest> waiting = new HashMap<>();

		private final Map<Long, Integer> attempts = new HashMap<>();

		private final Set<Long> abandoned = new HashSet<>();

		private long now;

		private long lastTicket;

		private int successes;

		private int repeats;

		Model() {
			for (int i = 0; i < 3; i++) {
				this.accepting.put("upstream-" + i, true);
			}
			announce();
		}

		private void announce() {
			List<Upstream> upstreams = new ArrayList<>();
			this.accepting
				.forEach((name, ready) -> upstreams.add(new Upstream(name, "127.0.0.1:1", "zone-0", SLOTS, 1, ready)));
			perform(this.router.updateUpstreams(upstreams, this.now));
		}

		void admit(int number) {
			RoutingRequest ticket = new RoutingRequest(++this.lastTicket, "caller-" + number % 4, number % 2 == 0,
					this.now + 1_000_000_000L);
			this.waiting.put(ticket.id(), ticket);
			perform(this.router.admit(ticket, this.now));
		}

		private void perform(List<RoutingEffect> effects) {
			for (RoutingEffect effect : effects) {
				if (effect instanceof Dispatch dispatch) {
					dispatched(dispatch);
				}
				else if (effect instanceof Refusal refusal) {
					refused(refusal);
				}
			}
		}

		private void dispatched(Dispatch dispatch) {
			String name = dispatch.upstream().name();
			assertThat(this.accepting.get(name)).as("%s takes work", name).isEqualTo(true);
			boolean added = this.inFlight.computeIfAbsent(dispatch.requestId(), (id) -> new HashSet<>()).add(name);
			assertThat(added).as("one attempt at an upstream").isTrue();
			assertThat(countAt(name)).as("attempts at %s", name).isLessThanOrEqualTo(2 * SLOTS);
			assertThat(dispatch.inFlight()).isEqualTo(countAt(name));
			int made = this.attempts.merge(dispatch.requestId(), 1, Integer::sum);
			assertThat(made).as("attempts of a request").isLessThanOrEqualTo(3);
			this.repeats += (dispatch.kind() == AttemptKind.FIRST) ? 0 : 1;
			assertThat(this.repeats).as("retries and hedges").isLessThanOrEqualTo(10 + this.successes / 5 + 1);
			this.waiting.remove(dispatch.requestId());
		}

		private long countAt(String upstream) {
			return this.inFlight.values().stream().filter((names) -> names.contains(upstream)).count();
		}

		private void refused(Refusal refusal) {
			assertThat(refusal.retryAfterMillis()).as("time to come back").isPositive();
			assertThat(this.inFlight).as("refused request has no attempt").doesNotContainKey(refusal.requestId());
			this.waiting.remove(refusal.requestId());
			this.router.close(refusal.requestId());
		}

		void end(int number, AttemptResult result) {
			List<Long> tickets = new ArrayList<>(this.inFlight.keySet());
			if (tickets.isEmpty()) {
				return;
			}
			long ticket = tickets.get(number % tickets.size());
			Set<String> names = this.inFlight.get(ticket);
			String name = names.iterator().next();
			names.remove(name);
			if (names.isEmpty()) {
				this.inFlight.remove(ticket);
			}
			this.now += 1_000_000;
			this.successes += (result == AttemptResult.SUCCESS) ? 1 : 0;
			perform(this.router.completeAttempt(ticket, name, result, this.now));
			if (this.abandoned.contains(ticket)) {
				assertThat(this.router.retry(ticket, this.now)).as("retry of a closed request").isEmpty();
				return;
			}
			if (result == AttemptResult.SUCCESS) {
				answered(ticket);
			}
			else if (names.isEmpty()) {
				this.waiting.put(ticket, new RoutingRequest(ticket, "", true, 0));
				perform(this.router.retry(ticket, this.now));
			}
		}

		private void answered(long ticket) {
			Set<String> others = this.inFlight.remove(ticket);
			if (others != null) {
				others.forEach((name) -> perform(
						this.router.completeAttempt(ticket, name, AttemptResult.CANCELLED, this.now)));
			}
			this.router.close(ticket);
		}

		void hedge(int number) {
			List<Long> tickets = new ArrayList<>(this.inFlight.keySet());
			if (!tickets.isEmpty()) {
				perform(this.router.hedge(tickets.get(number % tickets.size()), this.now));
			}
		}

		void callerGoesAway(int number) {
			List<Long> tickets = new ArrayList<>(this.waiting.keySet());
			if (!tickets.isEmpty()) {
				long ticket = tickets.get(number % tickets.size());
				this.waiting.remove(ticket);
				this.router.close(ticket);
			}
		}

		// The request is closed while its attempts have yet to end.
		void abandon(int number) {
			List<Long> tickets = new ArrayList<>(this.inFlight.keySet());
			if (!tickets.isEmpty()) {
				long ticket = tickets.get(number % tickets.size());
				this.abandoned.add(ticket);
				this.router.close(ticket);
			}
		}

		void drain(int number) {
			String name = "upstream-" + number % 3;
			this.accepting.computeIfPresent(name, (key, ready) -> !ready);
			announce();
		}

		void leave(int number) {
			String name = "upstream-" + number % 3;
			if (this.accepting.remove(name) == null) {
				this.accepting.put(name, true);
			}
			announce();
		}

		void tick(int number) {
			this.now += number * 50_000L;
			perform(this.router.tick(this.now));
		}

		void finishAll() {
			while (!this.inFlight.isEmpty()) {
				end(0, AttemptResult.SUCCESS);
			}
			this.now += 10_000_000_000L;
			perform(this.router.tick(this.now));
			while (!this.inFlight.isEmpty()) {
				end(0, AttemptResult.SUCCESS);
			}
			assertThat(this.waiting).as("requests without a decision").isEmpty();
		}

	}

}
