package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.InstanceView;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.AllotmentMessage;
import org.radishthread.protocol.AllotmentTerms;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.allotment.AllotmentBorrower;
import org.radishthread.routing.allotment.AllotmentEffect;
import org.radishthread.routing.allotment.AllotmentLender;
import org.radishthread.routing.allotment.LenderDirectory;
import org.radishthread.routing.allotment.LenderDirectory.Member;
import org.radishthread.rules.RuleSet;
import org.radishthread.rules.WorkspaceRule;

/**
 * Keeps the requests of workspaces within their allotments: connects the
 * {@link AllotmentBorrower} and the {@link AllotmentLender} of this instance to the peer
 * transport, the rules and a timer. Requests without a limited workspace pass it at once,
 * and without such workspaces it sends nothing. Safe for use by several threads;
 * decisions are carried out outside the lock.
 */
public final class AllotmentService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "allotments";

	private static final EventLog eventLog = EventLog.of(AllotmentService.class);

	private static final long TICK_INTERVAL_MILLIS = 25;

	private static final int TICKS_PER_LENDER_TICK = 20;

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final TimeSource time;

	private final LenderDirectory directory = new LenderDirectory();

	private final AllotmentBorrower borrower;

	private final AllotmentLender lender;

	private final EventLoop eventLoop = new EventLoop(NAME);

	private final EffectExecutor<AllotmentEffect> effectExecutor = new EffectExecutor<>(eventLog, this::execute);

	private final Map<Long, AllottedRequest> requests = new ConcurrentHashMap<>();

	private final Counter refusedRequests;

	private volatile RuleSet rules = RuleSet.EMPTY;

	private volatile boolean anyLimited;

	private final AtomicBoolean tickScheduled = new AtomicBoolean();

	// Guarded by this.
	private List<InstanceView> knownInstances = List.of();

	// Guarded by this.
	private boolean knownReady;

	// Accessed on the thread of the loop only.
	private int tickCount;

	public AllotmentService(DaemonSettings settings, PeerTransport transport, ClusterService cluster, TimeSource time,
			MeterRegistry meters) {
		this.transport = transport;
		this.cluster = cluster;
		this.time = time;
		long runId = ThreadLocalRandom.current().nextLong();
		this.borrower = new AllotmentBorrower(runId, this.directory);
		this.lender = new AllotmentLender(runId, settings.peerAddress().toString(), settings.allotmentLimits(),
				this.directory);
		this.refusedRequests = meters.counter("radishthread.allotment.refused");
		Gauge.builder("radishthread.allotment.ledgers", this.lender, AllotmentLender::workspaceCount).register(meters);
		FunctionCounter.builder("radishthread.allotment.loans", this.lender, AllotmentLender::loanCount)
			.register(meters);
		FunctionCounter.builder("radishthread.allotment.tokens.lent", this.lender, AllotmentLender::lentTokens)
			.register(meters);
		FunctionCounter.builder("radishthread.allotment.tokens.returned", this.lender, AllotmentLender::returnedTokens)
			.register(meters);
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.ALLOTMENT,
				(name, address, envelope) -> receive(address, envelope.getAllotment()));
	}

	// Without limited workspaces there is nothing to do at intervals.
	private void scheduleTickIfNeeded() {
		if ((this.anyLimited || hasWork()) && this.tickScheduled.compareAndSet(false, true)) {
			this.eventLoop.schedule(TICK_INTERVAL_MILLIS, this::tick);
		}
	}

	private void receive(String address, AllotmentMessage message) {
		process((nowNanos) -> message.hasLoan() ? this.borrower.receive(address, message, nowNanos)
				: this.lender.receive(address, message, nowNanos));
	}

	private void process(Function<Long, List<AllotmentEffect>> event) {
		List<AllotmentEffect> effects = new ArrayList<>();
		synchronized (this) {
			long nowNanos = this.time.monotonicNanos();
			if (updateMembers(nowNanos)) {
				effects.addAll(this.lender.tick(nowNanos));
			}
			effects.addAll(event.apply(nowNanos));
		}
		this.effectExecutor.execute(effects);
		scheduleTickIfNeeded();
	}

	// An instance that is out of touch neither lends nor counts on others.
	private boolean updateMembers(long nowNanos) {
		List<InstanceView> instances = this.cluster.view().instances();
		boolean ready = this.cluster.servingState() == ServingState.READY
				|| this.cluster.servingState() == ServingState.STOPPING;
		if (instances == this.knownInstances && ready == this.knownReady) {
			return false;
		}
		this.knownInstances = instances;
		this.knownReady = ready;
		return this.directory.update(ready ? lenders(instances) : List.of(), nowNanos);
	}

	private static List<Member> lenders(List<InstanceView> instances) {
		return instances.stream()
			.filter(InstanceView::live)
			.map(InstanceView::instance)
			.filter((instance) -> instance.getGateway() && instance.getCountsAllotments() && !instance.getLeaving())
			.map(AllotmentService::toMember)
			.sorted(Comparator.comparing(Member::name))
			.toList();
	}

	private static Member toMember(InstanceRecord instance) {
		return new Member(instance.getName(), instance.getPeerAddress());
	}

	private void tick() {
		this.tickCount++;
		this.tickScheduled.set(false);
		process(this.borrower::tick);
		if (this.tickCount % TICKS_PER_LENDER_TICK == 0) {
			process(this.lender::tick);
		}
	}

	private synchronized boolean hasWork() {
		return this.borrower.needsTick() || this.lender.workspaceCount() > 0;
	}

	private void execute(AllotmentEffect effect) {
		if (effect instanceof AllotmentEffect.Send send) {
			this.transport.send(send.address(), Envelope.newBuilder().setAllotment(send.message()).build());
		}
		else if (effect instanceof AllotmentEffect.Granted granted) {
			grant(granted.requestId());
		}
		else if (effect instanceof AllotmentEffect.Refused refusal) {
			refuse(refusal);
		}
		else if (effect instanceof AllotmentEffect.LimitChanged change) {
			eventLog.information(change.limited() ? "workspace-over-allotment" : "workspace-within-allotment")
				.with("workspace", change.workspace())
				.with("allotted-per-second", change.requestsPerSecond())
				.with("demand-per-second-here", Math.round(change.demandPerSecond()))
				.with("lender", change.lenderAddress().isEmpty() ? "none" : change.lenderAddress())
				.write();
		}
	}

	private void grant(long requestId) {
		AllottedRequest request = this.requests.get(requestId);
		if (request == null) {
			return;
		}
		if (request.grant(this.time.monotonicNanos())) {
			request.run();
		}
		else {
			this.requests.remove(requestId);
			giveBack(request);
		}
	}

	private void refuse(AllotmentEffect.Refused refusal) {
		AllottedRequest request = this.requests.remove(refusal.requestId());
		if (request == null) {
			return;
		}
		this.refusedRequests.increment();
		eventLog.information("allotment-refusal")
			.with("request", refusal.requestId())
			.with("workspace", refusal.workspace())
			.with("reason", refusal.reason().wireName())
			.with("allotted-per-second", request.requestsPerSecond())
			.write();
		request.refuse(new RoutingEffect.Refusal(refusal.requestId(), refusal.reason(), refusal.retryAfterMillis()));
	}

	private void giveBack(AllottedRequest request) {
		synchronized (this) {
			long nowNanos = this.time.monotonicNanos();
			this.borrower.giveBack(request.workspace(), request.isLate(nowNanos), nowNanos);
		}
	}

	// Runs one of the actions, now or after a loan has arrived.
	void acquire(RoutingRequest request, Runnable onGrant, Consumer<RoutingEffect.Refusal> onRefusal) {
		RuleSet currentRules = this.rules;
		WorkspaceRule workspace = currentRules.workspaces().get(request.workspace());
		if (workspace == null || !workspace.isLimited()) {
			onGrant.run();
			return;
		}
		this.requests.put(request.id(), new AllottedRequest(workspace, onGrant, onRefusal));
		process((nowNanos) -> this.borrower.acquire(request.id(), workspace.name(), toTerms(workspace, currentRules),
				request.deadlineNanos(), nowNanos));
	}

	private static AllotmentTerms toTerms(WorkspaceRule workspace, RuleSet rules) {
		return AllotmentTerms.newBuilder()
			.setRevision(rules.revision())
			.setRequestsPerSecond(workspace.requestsPerSecond())
			.setBurst(workspace.burst())
			.build();
	}

	void recordDispatch(long requestId) {
		AllottedRequest request = this.requests.get(requestId);
		if (request != null) {
			request.recordDispatch();
		}
	}

	void recordResult(long requestId, AttemptResult result) {
		AllottedRequest request = this.requests.get(requestId);
		if (request != null) {
			request.recordResult(result);
		}
	}

	// Gives the token back if the request certainly did not run.
	void close(long requestId) {
		AllottedRequest request = this.requests.get(requestId);
		if (request != null && request.close()) {
			this.requests.remove(requestId);
			if (request.hasNotRun()) {
				giveBack(request);
			}
		}
	}

	void updateRules(RuleSet updatedRules) {
		this.rules = updatedRules;
		this.anyLimited = updatedRules.workspaces().values().stream().anyMatch(WorkspaceRule::isLimited);
		synchronized (this) {
			long nowNanos = this.time.monotonicNanos();
			updatedRules.workspaces()
				.values()
				.stream()
				.filter(WorkspaceRule::isLimited)
				.forEach((workspace) -> this.lender.updateTerms(workspace.name(), toTerms(workspace, updatedRules),
						nowNanos));
		}
		scheduleTickIfNeeded();
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
