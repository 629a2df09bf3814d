package org.radishthread.routing.allotment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleSupplier;

import org.radishthread.protocol.AllotmentMessage;
import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.routing.AllotmentLimits;
import org.radishthread.routing.HomeAssignment;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.allotment.LenderDirectory.Member;

/**
 * Gateways that share the allotment of one workspace, in virtual time. The requests of
 * each service are admitted by its home, or by the gateway that received them if it does
 * not reach the home.
 */
final class AllotmentSimulation {

	static final String WORKSPACE = "marlow";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int TICK_MILLIS = 25;

	private static final List<String> SERVICES = List.of("tiles", "lessons", "passes", "reports");

	private static final long DEADLINE_MILLIS = 2_000;

	// From a fault until gateways count each other as lost, and from its end until they
	// count each other as live.
	private static final int DETECTION_MILLIS = 4_000;

	private static final int DETECTION_SPREAD_MILLIS = 1_000;

	private static final int JOIN_SPREAD_MILLIS = 800;

	final Random random;

	final AllotmentLimits limits;

	final List<Gateway> gateways = new ArrayList<>();

	// One entry for each millisecond.
	final int[] arrived;

	final int[] ran;

	final int[] refused;

	final Map<RefusalReason, Integer> refusals = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::millis).thenComparingLong(Event::sequenceNumber));

	private final Map<Long, Gateway> pending = new HashMap<>();

	AllotmentTerms terms;

	DoubleSupplier demandPerSecond = () -> 0;

	double lossShare;

	double neverRunShare;

	int maximumDelayMillis = 20;

	int messageCount;

	long nowMillis;

	private long lastRequestId;

	private long lastSequenceNumber;

	AllotmentSimulation(int gatewayCount, AllotmentLimits limits, AllotmentTerms terms, int durationMillis, long seed) {
		this.random = new Random(seed);
		this.limits = limits;
		this.terms = terms;
		this.arrived = new int[durationMillis];
		this.ran = new int[durationMillis];
		this.refused = new int[durationMillis];
		// Long before the first request, as in a deployment that runs for some time.
		this.nowMillis = -100_000;
		for (int i = 0; i < gatewayCount; i++) {
			this.gateways.add(new Gateway("gateway-" + i));
		}
		this.gateways.forEach((gateway) -> gateway.updateView());
		this.nowMillis = 0;
	}

	long nowNanos() {
		return this.nowMillis * NANOS_PER_MILLI;
	}

	void schedule(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, ++this.lastSequenceNumber, action));
	}

	void run() {
		while (this.nowMillis < this.arrived.length) {
			while (!this.events.isEmpty() && this.events.peek().millis() <= this.nowMillis) {
				this.events.remove().action().run();
			}
			double expectedArrivals = this.demandPerSecond.getAsDouble() / 1_000;
			for (int i = poisson(expectedArrivals); i > 0; i--) {
				admit();
			}
			if (this.nowMillis % TICK_MILLIS == 0) {
				this.gateways.stream().filter((gateway) -> gateway.running).forEach(Gateway::tick);
			}
			this.nowMillis++;
		}
	}

	private int poisson(double mean) {
		double threshold = Math.exp(-mean);
		double product = this.random.nextDouble();
		int count = 0;
		while (product > threshold) {
			product *= this.random.nextDouble();
			count++;
		}
		return count;
	}

	private void admit() {
		Gateway receiver = this.gateways.get(this.random.nextInt(this.gateways.size()));
		if (!receiver.running || receiver.view.isEmpty()) {
			return;
		}
		String service = SERVICES.get(Math.min(this.random.nextInt(10) / 2, SERVICES.size() - 1));
		Gateway home = find(HomeAssignment.findHome(service, receiver.view.stream().map(Member::name).toList()));
		Gateway admitting = (home.running && !home.view.isEmpty() && home.side == receiver.side) ? home : receiver;
		long id = ++this.lastRequestId;
		this.arrived[(int) this.nowMillis]++;
		this.pending.put(id, admitting);
		admitting.execute(admitting.borrower.acquire(id, WORKSPACE, admitting.terms,
				nowNanos() + DEADLINE_MILLIS * NANOS_PER_MILLI, nowNanos()));
	}

	Gateway find(String nameOrAddress) {
		return this.gateways.stream().filter((gateway) -> gateway.name.equals(nameOrAddress)).findFirst().orElseThrow();
	}

	Gateway lender() {
		return find(HomeAssignment.findHome(WORKSPACE,
				this.gateways.stream().filter((gateway) -> gateway.running).map((gateway) -> gateway.name).toList()));
	}

	void changeTerms(AllotmentTerms changedTerms, int applyMillis) {
		this.terms = changedTerms;
		this.gateways.forEach((gateway) -> schedule(this.random.nextInt(applyMillis), () -> {
			gateway.terms = changedTerms;
			gateway.lender.updateTerms(WORKSPACE, changedTerms, nowNanos());
		}));
	}

	void crash(Gateway gateway) {
		gateway.running = false;
		membersChanged(DETECTION_MILLIS, DETECTION_SPREAD_MILLIS);
	}

	void restart(Gateway gateway) {
		gateway.start();
		membersChanged(0, JOIN_SPREAD_MILLIS);
	}

	// The gateway completes what it has, but is not the home or lender of anything.
	void leave(Gateway gateway) {
		gateway.leaving = true;
		membersChanged(0, JOIN_SPREAD_MILLIS);
	}

	void cutOff(List<Gateway> cut) {
		cut.forEach((gateway) -> gateway.side = 1);
		membersChanged(DETECTION_MILLIS, DETECTION_SPREAD_MILLIS);
	}

	void heal() {
		this.gateways.forEach((gateway) -> gateway.side = 0);
		membersChanged(0, JOIN_SPREAD_MILLIS);
	}

	private void membersChanged(int minimumMillis, int spreadMillis) {
		this.gateways
			.forEach((gateway) -> schedule(minimumMillis + this.random.nextInt(spreadMillis), gateway::updateView));
	}

	// The most requests of any window that ends in the given time.
	int mostInWindow(int[] counts, int fromMillis, int untilMillis) {
		int windowMillis = (int) (this.limits.windowSeconds() * 1_000);
		int most = 0;
		int inWindow = 0;
		for (int millis = fromMillis; millis < untilMillis; millis++) {
			inWindow += counts[millis];
			if (millis - windowMillis >= fromMillis) {
				inWindow -= counts[millis - windowMillis];
			}
			most = Math.max(most, inWindow);
		}
		return most;
	}

	static double bound(AllotmentLimits limits, AllotmentTerms terms) {
		return (terms.getRequestsPerSecond() * limits.windowSeconds() + terms.getBurst()) * (1 + limits.overage())
				+ limits.slack();
	}

	// Whether an exact counter would refuse none of the requests that have arrived.
	boolean isWithinAllotment() {
		double tokens = this.terms.getBurst();
		for (int count : this.arrived) {
			tokens = Math.min(this.terms.getBurst(), tokens + this.terms.getRequestsPerSecond() / 1_000) - count;
			if (tokens < 0) {
				return false;
			}
		}
		return true;
	}

	static int sum(int[] counts, int fromMillis, int untilMillis) {
		int sum = 0;
		for (int millis = fromMillis; millis < untilMillis; millis++) {
			sum += counts[millis];
		}
		return sum;
	}

	private record Event(long millis, long sequenceNumber, Runnable action) {
	}

	/**
	 * One gateway, whose name is also its address.
	 */
	final class Gateway {

		final String name;

		boolean running;

		boolean leaving;

		int side;

		List<Member> view = List.of();

		AllotmentTerms terms;

		AllotmentBorrower borrower;

		AllotmentLender lender;

		private LenderDirectory directory;

		private Gateway(String name) {
			this.name = name;
			start();
		}

		private void start() {
			long runId = AllotmentSimulation.this.random.nextLong();
			this.running = true;
			this.leaving = false;
			this.terms = AllotmentSimulation.this.terms;
			this.directory = new LenderDirectory();
			this.borrower = new AllotmentBorrower(runId, this.directory);
			this.lender = new AllotmentLender(runId, this.name, AllotmentSimulation.this.limits, this.directory);
			this.view = List.of();
		}

		// An instance without a majority serves nobody.
		private void updateView() {
			if (!this.running) {
				return;
			}
			List<Member> live = AllotmentSimulation.this.gateways.stream()
				.filter((gateway) -> gateway.running && !gateway.leaving && gateway.side == this.side)
				.map((gateway) -> new Member(gateway.name, gateway.name))
				.toList();
			this.view = (2 * live.size() > AllotmentSimulation.this.gateways.size()) ? live : List.of();
			if (this.directory.update(this.view, nowNanos())) {
				execute(this.lender.tick(nowNanos()));
			}
		}

		private void tick() {
			execute(this.borrower.tick(nowNanos()));
			if (AllotmentSimulation.this.nowMillis % 1_000 == 0) {
				execute(this.lender.tick(nowNanos()));
			}
		}

		private void execute(List<AllotmentEffect> effects) {
			for (AllotmentEffect effect : effects) {
				if (effect instanceof AllotmentEffect.Send send) {
					send(find(send.address()), send.message());
				}
				else if (effect instanceof AllotmentEffect.Granted granted) {
					grant(granted.requestId());
				}
				else if (effect instanceof AllotmentEffect.Refused refusal) {
					AllotmentSimulation.this.pending.remove(refusal.requestId());
					AllotmentSimulation.this.refused[(int) AllotmentSimulation.this.nowMillis]++;
					AllotmentSimulation.this.refusals.merge(refusal.reason(), 1, Integer::sum);
				}
			}
		}

		private void grant(long requestId) {
			AllotmentSimulation.this.pending.remove(requestId);
			if (AllotmentSimulation.this.random.nextDouble() < AllotmentSimulation.this.neverRunShare) {
				boolean late = AllotmentSimulation.this.random.nextBoolean();
				schedule(late ? AllotmentSimulation.this.random.nextInt(2_000) : 0,
						() -> this.borrower.giveBack(WORKSPACE, late, nowNanos()));
				return;
			}
			AllotmentSimulation.this.ran[(int) AllotmentSimulation.this.nowMillis]++;
		}

		private void send(Gateway recipient, AllotmentMessage message) {
			if (recipient == this) {
				receive(this, message);
				return;
			}
			AllotmentSimulation.this.messageCount++;
			if (AllotmentSimulation.this.random.nextDouble() >= AllotmentSimulation.this.lossShare) {
				schedule(1 + AllotmentSimulation.this.random.nextInt(AllotmentSimulation.this.maximumDelayMillis),
						() -> recipient.receive(this, message));
			}
		}

		private void receive(Gateway sender, AllotmentMessage message) {
			if (!this.running || !sender.running || sender.side != this.side) {
				return;
			}
			if (message.hasLoan()) {
				execute(this.borrower.receive(sender.name, message, nowNanos()));
			}
			else {
				execute(this.lender.receive(sender.name, message, nowNanos()));
			}
		}

	}

}
