package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.gateway.HomeDirectory.HomeCandidate;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotProbe;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.SlotEffect;
import org.radishthread.routing.SlotRequester;
import org.radishthread.routing.UpstreamPool;

/**
 * Connects the {@link SlotRequester}, which asks the homes of services for slots, and the
 * {@link SlotGranter}, which grants slots to other instances, to the peer transport and
 * to timers. Safe for use by several threads.
 */
public final class SlotService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "slots";

	private static final EventLog eventLog = EventLog.of(SlotService.class);

	private static final long TICK_INTERVAL_MILLIS = 25;

	private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 500;

	private static final long PROBE_CHECK_INTERVAL_MILLIS = 50;

	// If two homes are silent, others may be as well, or this instance is cut off.
	private static final int MAXIMUM_ASKED_HOMES = 2;

	private final PeerTransport transport;

	private final TimeSource time;

	private final RoutingService routing;

	private final HomeDirectory homes;

	private final SlotRequester requester;

	private final SlotGranter granter;

	private final EventLoop eventLoop = new EventLoop("slots");

	private final EffectExecutor<SlotEffect> effectExecutor = new EffectExecutor<>(eventLog, this::execute);

	private final AtomicBoolean tickScheduled = new AtomicBoolean();

	private final AtomicBoolean probeScheduled = new AtomicBoolean();

	private final Map<Long, RoutingCallback> callbacks = new ConcurrentHashMap<>();

	public SlotService(DaemonSettings settings, PeerTransport transport, ClusterService cluster, RoutingService routing,
			ReachabilityMonitor reachability, TimeSource time) {
		this.transport = transport;
		this.time = time;
		this.routing = routing;
		this.homes = new HomeDirectory(cluster, time);
		this.requester = new SlotRequester(ThreadLocalRandom.current().nextLong(), settings.zone(),
				settings.routerSettings().homeResponseTimeout());
		this.granter = new SlotGranter(settings.peerAddress().toString(), routing, LiveGateways.of(cluster), time,
				this::send);
		reachability.addListener(this::reportReachability);
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.SLOT,
				(name, address, envelope) -> receive(address, envelope.getSlot()));
		this.eventLoop.scheduleWithFixedDelay(EXPIRY_CHECK_INTERVAL_MILLIS, this.granter::closeExpired);
	}

	// Tells the home at once, so that it chooses other relays.
	private void reportReachability(String service, boolean partitioned) {
		pools(service).forEach((pool) -> this.homes.selectHome(pool)
			.filter((home) -> !home.local())
			.ifPresent((home) -> send(home.peerAddress(),
					SlotMessage.newBuilder()
						.setService(pool.key())
						.setReachability(reachability(partitioned))
						.build())));
	}

	private static SlotMessage.Reachability reachability(boolean partitioned) {
		return partitioned ? SlotMessage.Reachability.PARTITIONED : SlotMessage.Reachability.REACHABLE;
	}

	private void receive(String address, SlotMessage message) {
		switch (message.getBodyCase()) {
			case GRANT, REFUSAL, QUEUED -> process((nowNanos) -> this.requester.receive(address, message, nowNanos));
			case PROBE -> receiveProbe(address, message);
			default -> this.granter.receive(address, message);
		}
	}

	private void receiveProbe(String address, SlotMessage message) {
		if (!message.getProbe().getResponse()) {
			this.granter.receive(address, message);
		}
		else if (message.getRun() == this.requester.runId()) {
			this.homes.recordProbeResponse(address, message.getTicket());
		}
	}

	private void send(String address, SlotMessage message) {
		this.transport.send(address, Envelope.newBuilder().setSlot(message).build());
	}

	HomeDirectory homes() {
		return this.homes;
	}

	LocalRequestRouter localRouter(UpstreamPool pool) {
		return this.routing.router(pool);
	}

	private List<UpstreamPool> pools(String service) {
		return this.homes.canDivideServices() ? this.routing.pools(service).pools()
				: List.of(UpstreamPool.whole(service));
	}

	UpstreamPool selectPool(String service, String digest) {
		return this.homes.canDivideServices() ? this.routing.selectPool(service, digest) : UpstreamPool.whole(service);
	}

	void admit(RoutingRequest request, UpstreamPool pool, String homeAddress, RoutingCallback callback) {
		this.callbacks.put(request.id(), callback);
		process((nowNanos) -> this.requester.requestSlot(request, pool.key(), homeAddress, nowNanos));
	}

	// This and the following methods return false if the request was not sent to its
	// home, but is routed by this instance.
	boolean completeAttempt(long requestId, String upstream, AttemptResult result, @Nullable LoadReport loadReport) {
		return processIfSentToHome(requestId,
				(nowNanos) -> this.requester.completeAttempt(requestId, upstream, result, loadReport));
	}

	boolean retry(long requestId) {
		return processIfSentToHome(requestId, (nowNanos) -> this.requester.retry(requestId, nowNanos));
	}

	boolean hedge(long requestId) {
		return processIfSentToHome(requestId, (nowNanos) -> this.requester.hedge(requestId));
	}

	boolean close(long requestId) {
		this.callbacks.remove(requestId);
		return processIfSentToHome(requestId, (nowNanos) -> this.requester.close(requestId));
	}

	private boolean processIfSentToHome(long requestId, Function<Long, List<SlotEffect>> event) {
		synchronized (this.requester) {
			if (!this.requester.hasOpenRequest(requestId)) {
				return false;
			}
		}
		process(event);
		return true;
	}

	private void process(Function<Long, List<SlotEffect>> event) {
		List<SlotEffect> effects;
		boolean needsTick;
		synchronized (this.requester) {
			effects = event.apply(this.time.monotonicNanos());
			needsTick = this.requester.needsTick();
		}
		if (needsTick && this.tickScheduled.compareAndSet(false, true)) {
			this.eventLoop.schedule(TICK_INTERVAL_MILLIS, this::tick);
		}
		effects.forEach(SlotService::logRefusal);
		this.effectExecutor.execute(effects);
	}

	// Written before the effects of the same event are executed, which takes time.
	private static void logRefusal(SlotEffect effect) {
		if (effect instanceof SlotEffect.Decision decision
				&& decision.routingEffect() instanceof RoutingEffect.Refusal refusal) {
			eventLog.information("slot-refused")
				.with("number", refusal.requestId())
				.with("reason", refusal.reason().wireName())
				.write();
		}
	}

	// Scheduled only while a request waits for its home.
	private void tick() {
		this.tickScheduled.set(false);
		process(this.requester::tick);
	}

	private void execute(SlotEffect effect) {
		if (effect instanceof SlotEffect.Send send) {
			boolean partitioned = this.routing.isPartitioned(UpstreamPool.of(send.message().getService()).service());
			send(send.homeAddress(), send.message().toBuilder().setReachability(reachability(partitioned)).build());
		}
		else if (effect instanceof SlotEffect.Decision decision) {
			executeDecision(decision.routingEffect());
		}
		else if (effect instanceof SlotEffect.HomeUnavailable homeUnavailable) {
			leaveHome(homeUnavailable);
		}
	}

	private void executeDecision(RoutingEffect routingEffect) {
		if (routingEffect instanceof RoutingEffect.Dispatch dispatch) {
			RoutingCallback callback = this.callbacks.get(dispatch.requestId());
			if (callback == null) {
				completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.CANCELLED, null);
				return;
			}
			callback.onDispatch(dispatch);
		}
		else if (routingEffect instanceof RoutingEffect.Refusal refusal) {
			RoutingCallback callback = this.callbacks.get(refusal.requestId());
			if (callback != null) {
				callback.onRefusal(refusal);
			}
		}
	}

	private void leaveHome(SlotEffect.HomeUnavailable homeUnavailable) {
		this.homes.recordSilence(homeUnavailable.homeAddress());
		probeHomes();
		UpstreamPool pool = UpstreamPool.of(homeUnavailable.service());
		HomeCandidate nextHome = (homeUnavailable.askedHomes().size() < MAXIMUM_ASKED_HOMES)
				? this.homes.selectHome(pool, homeUnavailable.askedHomes()).orElse(null) : null;
		eventLog.information("home-unavailable")
			.with("service", homeUnavailable.service())
			.with("request", homeUnavailable.request().id())
			.with("home", homeUnavailable.homeAddress())
			.with("next-home", (nextHome != null) ? nextHome.name() : "none")
			.write();
		RoutingCallback callback = this.callbacks.get(homeUnavailable.request().id());
		if (callback == null) {
			return;
		}
		if (nextHome == null || nextHome.local()) {
			routeLocally(homeUnavailable.request(), pool, nextHome != null, callback);
		}
		else {
			requestSlotElsewhere(homeUnavailable, nextHome);
		}
	}

	private void requestSlotElsewhere(SlotEffect.HomeUnavailable homeUnavailable, HomeCandidate nextHome) {
		process((nowNanos) -> this.requester.requestSlotElsewhere(homeUnavailable, nextHome.peerAddress(), nowNanos));
		long requestId = homeUnavailable.request().id();
		if (!this.callbacks.containsKey(requestId)) {
			// Closed by another thread, perhaps before the requester knew it.
			process((nowNanos) -> this.requester.close(requestId));
		}
	}

	private void routeLocally(RoutingRequest request, UpstreamPool pool, boolean home, RoutingCallback callback) {
		if (home) {
			localRouter(pool).admit(request.substitute(), callback);
		}
		else {
			admitWithoutHome(request, pool, callback);
		}
		if (this.callbacks.remove(request.id()) == null) {
			// Closed by another thread, perhaps before the local router knew it.
			localRouter(pool).close(request.id());
		}
	}

	private void probeHomes() {
		if (this.probeScheduled.compareAndSet(false, true)) {
			this.eventLoop.execute(this::sendDueProbes);
		}
	}

	// Scheduled only while an instance is left out as a home.
	private void sendDueProbes() {
		this.probeScheduled.set(false);
		if (this.homes.isAnyLeftOut() && this.probeScheduled.compareAndSet(false, true)) {
			this.eventLoop.schedule(PROBE_CHECK_INTERVAL_MILLIS, this::sendDueProbes);
		}
		this.homes.takeDueProbes()
			.forEach((probe) -> send(probe.peerAddress(),
					SlotMessage.newBuilder()
						.setRun(this.requester.runId())
						.setTicket(probe.number())
						.setProbe(SlotProbe.getDefaultInstance())
						.build()));
	}

	void admitWithoutHome(RoutingRequest request, UpstreamPool pool, RoutingCallback callback) {
		localRouter(pool).admitWithoutHome(request, this.homes.otherInstances(pool), callback);
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
