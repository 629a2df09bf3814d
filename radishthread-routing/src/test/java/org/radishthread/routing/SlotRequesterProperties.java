package org.radishthread.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

import org.radishthread.protocol.SlotGrant;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotQueued;
import org.radishthread.protocol.SlotRefusal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property tests for {@link SlotRequester}: the home sends its messages in any order and
 * repeats them, while the exchange reports completions, retries and hedges as it does in
 * the daemon, that is, a retry only while no attempt is in progress.
 */
class SlotRequesterProperties {

	private static final String HOME = "10.0.0.1:7000";

	private static final long RUN_ID = 42;

	private static final long REQUEST_ID = 7;

	private static final int UPSTREAM_COUNT = 5;

	// More than the time without a response after which a home counts as unavailable.
	private static final int MAXIMUM_DELAY_MILLIS = 400;

	// Guards against requests that ran after their callers had been told that they never
	// would, or that ran twice, and against slots of grants that nobody uses or returns.
	@Property(tries = 2_000)
	void eachRequestForAnAttemptIsAnsweredByOneDecision(@ForAll boolean mayRepeat,
			@ForAll @Size(max = 60) List<@From("steps") Step> steps) {
		Exchange exchange = new Exchange(mayRepeat);
		steps.forEach((step) -> step.event().run(exchange, step));
	}

	@Provide
	Arbitrary<Step> steps() {
		return Combinators
			.combine(Arbitraries.of(Event.class), Arbitraries.integers().between(1, UPSTREAM_COUNT),
					Arbitraries.of(AttemptResult.class), Arbitraries.integers().between(0, MAXIMUM_DELAY_MILLIS))
			.as(Step::new);
	}

	record Step(Event event, int upstreamNumber, AttemptResult result, int delayMillis) {

		String upstream() {
			return "upstream-" + this.upstreamNumber;
		}

	}

	enum Event {

		GRANT_OF_FIRST_ATTEMPT {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.receiveGrant(step.upstream(), AttemptKind.FIRST);
			}

		},

		GRANT_OF_RETRY {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.receiveGrant(step.upstream(), AttemptKind.RETRY);
			}

		},

		GRANT_OF_HEDGE {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.receiveGrant(step.upstream(), AttemptKind.HEDGE);
			}

		},

		REFUSAL {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.receiveRefusal(RefusalReason.OVERLOAD);
			}

		},

		REFUSAL_OF_AN_INSTANCE_THAT_IS_NOT_THE_HOME {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.receiveRefusal(RefusalReason.NOT_HOME);
			}

		},

		QUEUED {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.receiveQueued();
			}

		},

		TICK {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.tickAfter(step.delayMillis());
			}

		},

		COMPLETION {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.completeAnyAttempt(step.result());
			}

		},

		RETRY {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.retry();
			}

		},

		HEDGE {

			@Override
			void run(Exchange exchange, Step step) {
				exchange.hedge();
			}

		},

		CLOSE {

			// Seldom, because nothing is decided afterwards.
			@Override
			void run(Exchange exchange, Step step) {
				if (step.delayMillis() < MAXIMUM_DELAY_MILLIS / 4) {
					exchange.close();
				}
			}

		};

		abstract void run(Exchange exchange, Step step);

	}

	/**
	 * The exchange of one request. It checks each decision when it is made.
	 */
	private static final class Exchange {

		private final SlotRequester requester = new SlotRequester(RUN_ID, "zone-0",
				SlotRequester.MINIMUM_RESPONSE_TIMEOUT);

		private final boolean mayRepeat;

		private final Set<String> inProgress = new HashSet<>();

		// The upstreams of the grants that were dispatched or returned.
		private final Set<String> answeredGrants = new HashSet<>();

		private boolean dispatched;

		private boolean refused;

		private boolean closed;

		private long nowNanos;

		private Exchange(boolean mayRepeat) {
			this.mayRepeat = mayRepeat;
			RoutingRequest request = new RoutingRequest(REQUEST_ID, "caller", mayRepeat, Long.MAX_VALUE / 2);
			check(this.requester.requestSlot(request, "service", HOME, this.nowNanos));
		}

		private static SlotMessage.Builder message() {
			return SlotMessage.newBuilder().setRun(RUN_ID).setTicket(REQUEST_ID).setService("service");
		}

		private List<SlotEffect> receive(SlotMessage.Builder message) {
			return check(this.requester.receive(HOME, message.build(), this.nowNanos));
		}

		private void receiveGrant(String upstream, AttemptKind kind) {
			SlotGrant.Builder grant = SlotGrant.newBuilder()
				.setUpstream(upstream)
				.setAddress("10.0.0.9:1")
				.setKind(kind.wireName());
			List<SlotEffect> effects = receive(message().setGrant(grant));
			boolean repeated = !this.closed && this.answeredGrants.contains(upstream);
			boolean used = effects.stream().anyMatch((effect) -> isDispatch(effect, upstream));
			boolean returned = effects.stream().anyMatch((effect) -> isReturn(effect, upstream));
			assertThat(List.of(repeated, used, returned)).containsOnlyOnce(true);
			this.answeredGrants.add(upstream);
		}

		private static boolean isDispatch(SlotEffect effect, String upstream) {
			return effect instanceof SlotEffect.Decision decision
					&& decision.routingEffect() instanceof RoutingEffect.Dispatch dispatch
					&& dispatch.upstream().name().equals(upstream);
		}

		private static boolean isReturn(SlotEffect effect, String upstream) {
			return effect instanceof SlotEffect.Send send && send.homeAddress().equals(HOME) && send.message().hasEnd()
					&& send.message().getEnd().getUpstream().equals(upstream)
					&& send.message().getEnd().getResult().equals(AttemptResult.CANCELLED.wireName());
		}

		private void receiveRefusal(RefusalReason reason) {
			receive(message().setRefusal(SlotRefusal.newBuilder().setReason(reason.wireName())));
		}

		private void receiveQueued() {
			receive(message().setQueued(SlotQueued.getDefaultInstance()));
		}

		private void tickAfter(int delayMillis) {
			this.nowNanos += delayMillis * 1_000_000L;
			check(this.requester.tick(this.nowNanos));
		}

		private void completeAnyAttempt(AttemptResult result) {
			if (this.inProgress.isEmpty()) {
				return;
			}
			String upstream = this.inProgress.iterator().next();
			this.inProgress.remove(upstream);
			check(this.requester.completeAttempt(REQUEST_ID, upstream, result, null));
		}

		private void retry() {
			if (!this.inProgress.isEmpty() || !(this.dispatched || this.refused)) {
				return;
			}
			this.dispatched = false;
			this.refused = false;
			check(this.requester.retry(REQUEST_ID, this.nowNanos));
		}

		private void hedge() {
			if (this.mayRepeat && this.inProgress.size() == 1) {
				check(this.requester.hedge(REQUEST_ID));
			}
		}

		private void close() {
			this.closed = true;
			check(this.requester.close(REQUEST_ID));
		}

		private List<SlotEffect> check(List<SlotEffect> effects) {
			for (SlotEffect effect : effects) {
				if (effect instanceof SlotEffect.Decision decision) {
					checkDecision(decision.routingEffect());
				}
				else if (effect instanceof SlotEffect.HomeUnavailable) {
					assertThat(this.closed).as("closed").isFalse();
					assertThat(this.inProgress).isEmpty();
					// It is routed elsewhere from now on.
					this.closed = true;
				}
			}
			return effects;
		}

		private void checkDecision(RoutingEffect decision) {
			assertThat(this.closed).as("closed").isFalse();
			assertThat(this.refused).as("refused").isFalse();
			if (decision instanceof RoutingEffect.Dispatch dispatch) {
				checkDispatch(dispatch);
				return;
			}
			assertThat(decision).isInstanceOf(RoutingEffect.Refusal.class);
			assertThat(this.inProgress).isEmpty();
			assertThat(this.dispatched).as("dispatched").isFalse();
			this.refused = true;
		}

		private void checkDispatch(RoutingEffect.Dispatch dispatch) {
			if (!this.mayRepeat) {
				assertThat(this.inProgress).isEmpty();
			}
			if (!this.mayRepeat || dispatch.kind() != AttemptKind.HEDGE) {
				assertThat(this.dispatched).as("dispatched").isFalse();
			}
			assertThat(this.inProgress.add(dispatch.upstream().name())).as("new upstream").isTrue();
			this.dispatched = true;
		}

	}

}
