package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.radishthread.rules.PaceProbeRule;
import org.radishthread.rules.ServiceRule;

/**
 * A service in virtual time whose upstreams share their machines with others: a part of
 * them is several times slower for a moment, and all are slower when nearly full. Its
 * requests come through the real router.
 */
final class SharedMachineSimulation {

	private static final long MILLI = 1_000_000;

	private static final long TICK_NANOS = 10 * MILLI;

	private static final long NOISE_NANOS = 300 * MILLI;

	private static final long ONE_WAY_NANOS = MILLI;

	private static final double CROWDED_FACTOR = 1.7;

	private static final int QUEUE_PER_SLOT = 2;

	private static final long WARM_UP_NANOS = 3_000 * MILLI;

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final Load load;

	private final ServiceRouter router;

	private final Map<String, Noisy> upstreams = new HashMap<>();

	private final Map<Long, Call> calls = new HashMap<>();

	private long lastTicket;

	final Tally tally = new Tally();

	SharedMachineSimulation(Load load, boolean probed, long seed) {
		this.load = load;
		this.random = new Random(seed);
		ServiceRule rule = new ServiceRule("service", 2_000, Duration.ofSeconds(60), 50, 0, 15, 3,
				probed ? new PaceProbeRule("/health", 25) : null);
		this.router = new ServiceRouter(rule, "zone", 1, 0);
		List<Upstream> announced = new ArrayList<>();
		for (int i = 0; i < load.upstreams(); i++) {
			Upstream upstream = new Upstream("upstream-" + i, "127.0.0.1:1", "zone", load.slots(), 1, true);
			announced.add(upstream);
			this.upstreams.put(upstream.name(), new Noisy());
		}
		this.router.updateUpstreams(announced, 0);
	}

	Tally run(long seconds) {
		long end = seconds * 1_000 * MILLI;
		drawNoise();
		tick();
		double at = 0;
		while (at < end) {
			at += -Math.log(1 - this.random.nextDouble()) * 1_000 * MILLI / this.load.perSecondAt((long) at);
			this.time.after((long) at, this::arrive);
		}
		this.time.runUntil(end);
		return this.tally;
	}

	private void drawNoise() {
		for (Noisy noisy : this.upstreams.values()) {
			noisy.pace = (this.random.nextDouble() < this.load.noisyShare()) ? this.load.noisyFactor() : 1;
		}
		this.time.after(NOISE_NANOS, this::drawNoise);
	}

	private void tick() {
		perform(this.router.tick(this.time.now()));
		this.time.after(TICK_NANOS, this::tick);
	}

	private void arrive() {
		Call call = new Call(++this.lastTicket, this.time.now());
		this.calls.put(call.id, call);
		RoutingRequest ticket = new RoutingRequest(call.id, "caller-" + call.id, this.load.mayRepeat(),
				call.arrived + this.load.deadlineMillis() * MILLI, "",
				new Urgency(1, call.arrived + this.load.objectiveMillis() * MILLI), 2);
		this.time.after(this.load.deadlineMillis() * MILLI, () -> deadlinePassed(call));
		perform(this.router.admit(ticket, this.time.now()));
	}

	private void perform(List<RoutingEffect> effects) {
		for (RoutingEffect effect : effects) {
			if (effect instanceof RoutingEffect.Dispatch dispatch) {
				dispatch(this.calls.get(dispatch.requestId()), dispatch);
			}
			else if (effect instanceof RoutingEffect.Refusal refusal) {
				refuse(this.calls.get(refusal.requestId()), refusal);
			}
			else if (effect instanceof RoutingEffect.PaceProbe probe) {
				this.tally.probes++;
				String name = probe.upstream().name();
				this.time.after(2 * ONE_WAY_NANOS,
						() -> perform(this.router.recordPaceProbe(name, report(name), this.time.now())));
			}
		}
	}

	private LoadReport report(String name) {
		Noisy noisy = this.upstreams.get(name);
		return new LoadReport(noisy.running, noisy.waiting.size(), this.load.slots(), (int) (100 * noisy.pace));
	}

	private void dispatch(Call call, RoutingEffect.Dispatch dispatch) {
		String name = dispatch.upstream().name();
		Noisy noisy = this.upstreams.get(name);
		call.open.add(name);
		boolean full = noisy.waiting.size() >= QUEUE_PER_SLOT * this.load.slots();
		if (full || this.random.nextDouble() < this.load.failedShareAt(this.time.now())) {
			this.time.after(2 * ONE_WAY_NANOS, () -> failed(call, name));
		}
		else if (noisy.running < this.load.slots()) {
			run(call, name);
		}
		else {
			noisy.waiting.add(call);
		}
		if (dispatch.hedgeAfterNanos() > 0) {
			this.time.after(dispatch.hedgeAfterNanos(), () -> {
				if (!call.finished) {
					perform(this.router.hedge(call.id, this.time.now()));
				}
			});
		}
	}

	private void run(Call call, String name) {
		Noisy noisy = this.upstreams.get(name);
		noisy.running++;
		call.running.add(name);
		boolean crowded = noisy.running > this.load.slots() * 0.8;
		double spread = 0.7 + 0.6 * this.random.nextDouble();
		long work = (long) (this.load.workMillis() * MILLI * spread * noisy.pace * (crowded ? CROWDED_FACTOR : 1));
		this.time.after(2 * ONE_WAY_NANOS + work, () -> answered(call, name));
	}

	private void freeSlot(Call call, String name) {
		Noisy noisy = this.upstreams.get(name);
		noisy.waiting.remove(call);
		if (!call.running.remove(name)) {
			return;
		}
		noisy.running--;
		Call next = noisy.waiting.poll();
		if (next != null) {
			run(next, name);
		}
	}

	private void failed(Call call, String name) {
		if (!call.open.remove(name)) {
			return;
		}
		perform(this.router.completeAttempt(call.id, name, this.load.failure(), report(name), this.time.now()));
		boolean mayTryAgain = this.load.failure() == AttemptResult.SHED || this.load.mayRepeat();
		if (!call.finished && call.open.isEmpty() && mayTryAgain) {
			perform(this.router.retry(call.id, this.time.now()));
		}
	}

	private void deadlinePassed(Call call) {
		if (!call.finished) {
			this.tally.givenUp++;
			finish(call, false);
		}
	}

	private void answered(Call call, String name) {
		if (!call.open.remove(name)) {
			return;
		}
		freeSlot(call, name);
		List<RoutingEffect> effects = this.router.completeAttempt(call.id, name, AttemptResult.SUCCESS, report(name),
				this.time.now());
		finish(call, true);
		perform(effects);
	}

	private void refuse(Call call, RoutingEffect.Refusal refusal) {
		this.tally.refusedWaitMillis.add((this.time.now() - call.arrived) / MILLI);
		finish(call, false);
	}

	private void finish(Call call, boolean served) {
		if (call.finished) {
			return;
		}
		call.finished = true;
		for (String other : List.copyOf(call.open)) {
			call.open.remove(other);
			freeSlot(call, other);
			perform(this.router.completeAttempt(call.id, other, AttemptResult.CANCELLED, this.time.now()));
		}
		this.router.close(call.id);
		this.calls.remove(call.id);
		if (call.arrived < WARM_UP_NANOS) {
			return;
		}
		long millis = (this.time.now() - call.arrived) / MILLI;
		this.tally.asked++;
		this.tally.served += served ? 1 : 0;
		this.tally.inTime += (served && millis <= this.load.objectiveMillis()) ? 1 : 0;
	}

	/**
	 * What is asked of the service.
	 *
	 * @param upstreams the number of upstreams
	 * @param slots the slots of each
	 * @param workMillis the usual time of work, in milliseconds
	 * @param objectiveMillis the time within which an answer is of full use
	 * @param deadlineMillis the time after which it is of no use
	 * @param perSecond the requests in a second
	 * @param rushFactor the factor on them in the second third of each nine seconds
	 * @param mayRepeat whether a second attempt is allowed
	 * @param noisyShare the part of the upstreams that is slow at any moment
	 * @param noisyFactor how much longer work takes there
	 * @param failedShare the part of the requests that all upstreams refuse or fail in
	 * the last third of each nine seconds
	 * @param failure how they do so
	 */
	record Load(int upstreams, int slots, double workMillis, long objectiveMillis, long deadlineMillis,
			double perSecond, double rushFactor, boolean mayRepeat, double noisyShare, double noisyFactor,
			double failedShare, AttemptResult failure) {

		Load(int upstreams, int slots, double workMillis, long objectiveMillis, long deadlineMillis, double perSecond,
				double rushFactor, boolean mayRepeat, double noisyShare, double noisyFactor) {
			this(upstreams, slots, workMillis, objectiveMillis, deadlineMillis, perSecond, rushFactor, mayRepeat,
					noisyShare, noisyFactor, 0, AttemptResult.SHED);
		}

		private double failedShareAt(long nanos) {
			return (phaseAt(nanos) == 2) ? this.failedShare : 0;
		}

		private static long phaseAt(long nanos) {
			return nanos / (3_000 * MILLI) % 3;
		}

		private double perSecondAt(long nanos) {
			return (phaseAt(nanos) == 1) ? this.perSecond * this.rushFactor : this.perSecond;
		}

	}

	/**
	 * What became of the requests.
	 */
	static final class Tally {

		long asked;

		long served;

		long inTime;

		long probes;

		long givenUp;

		final List<Long> refusedWaitMillis = new ArrayList<>();

		double inTimeShare() {
			return (double) this.inTime / this.asked;
		}

		double servedShare() {
			return (double) this.served / this.asked;
		}

	}

	private static final class Noisy {

		private double pace = 1;

		private int running;

		private final Deque<Call> waiting = new ArrayDeque<>();

	}

	private static final class Call {

		private final long id;

		private final long arrived;

		private final Set<String> open = new HashSet<>();

		private final Set<String> running = new HashSet<>();

		private boolean finished;

		private Call(long id, long arrived) {
			this.id = id;
			this.arrived = arrived;
		}

	}

}
