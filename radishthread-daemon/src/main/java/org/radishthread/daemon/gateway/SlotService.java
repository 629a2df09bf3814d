package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.SlotEffect;
import org.radishthread.routing.SlotRequester;

/**
 * Drives the {@link SlotRequester} of this instance and the {@link SlotGranter} that
 * answers others, by messages and time.
 */
public final class SlotService implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "slots";

	private static final EventLog eventLog = EventLog.of(SlotService.class);

	private static final long TICK_MILLIS = 25;

	private static final long SWEEP_MILLIS = 500;

	private final PeerTransport transport;

	private final TimeSource time;

	private final RoutingService routing;

	private final HomeDirectory homes;

	private final SlotRequester requester;

	private final SlotGranter granter;

	private final EventLoop loop = new EventLoop("slots");

	private final AtomicBoolean ticking = new AtomicBoolean();

	private final Map<Long, RoutingCallback> callbacks = new ConcurrentHashMap<>();

	public SlotService(DaemonSettings settings, PeerTransport transport, ClusterService cluster, RoutingService routing,
			TimeSource time) {
		this.transport = transport;
		this.time = time;
		this.routing = routing;
		this.homes = new HomeDirectory(cluster, time);
		this.requester = new SlotRequester(ThreadLocalRandom.current().nextLong(), settings.zone());
		this.granter = new SlotGranter(routing, cluster, time, this::send);
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.SLOT,
				(name, address, envelope) -> receive(address, envelope.getSlot()));
		this.loop.scheduleWithFixedDelay(SWEEP_MILLIS, this.granter::sweep);
	}

	private void receive(String address, SlotMessage message) {
		switch (message.getBodyCase()) {
			case GRANT, REFUSAL, QUEUED -> perform((now) -> this.requester.receive(address, message, now));
			default -> this.granter.receive(address, message);
		}
	}

	private void send(String address, SlotMessage message) {
		this.transport.send(address, Envelope.newBuilder().setSlot(message).build());
	}

	HomeDirectory homes() {
		return this.homes;
	}

	RequestRouter localRouter(String service) {
		return this.routing.router(service);
	}

	void admit(RoutingRequest ticket, String service, String home, RoutingCallback callback) {
		this.callbacks.put(ticket.id(), callback);
		perform((now) -> this.requester.requestSlot(ticket, service, home, now));
	}

	boolean attemptEnded(long ticket, String upstream, AttemptResult result, @Nullable LoadReport load) {
		return ifHeld(ticket, (now) -> this.requester.completeAttempt(ticket, upstream, result, load));
	}

	boolean retry(long ticket) {
		return ifHeld(ticket, (now) -> this.requester.retry(ticket, now));
	}

	boolean hedge(long ticket) {
		return ifHeld(ticket, (now) -> this.requester.hedge(ticket));
	}

	boolean close(long ticket) {
		this.callbacks.remove(ticket);
		return ifHeld(ticket, (now) -> this.requester.close(ticket));
	}

	private boolean ifHeld(long ticket, Function<Long, List<SlotEffect>> event) {
		synchronized (this.requester) {
			if (!this.requester.hasOpenRequest(ticket)) {
				return false;
			}
		}
		perform(event);
		return true;
	}

	private void perform(Function<Long, List<SlotEffect>> event) {
		List<SlotEffect> effects;
		boolean needsTick;
		synchronized (this.requester) {
			effects = event.apply(this.time.monotonicNanos());
			needsTick = this.requester.needsTick();
		}
		if (needsTick && this.ticking.compareAndSet(false, true)) {
			this.loop.schedule(TICK_MILLIS, this::tick);
		}
		effects.forEach(this::perform);
	}

	// Runs only while a request waits for its home.
	private void tick() {
		this.ticking.set(false);
		perform(this.requester::tick);
	}

	private void perform(SlotEffect effect) {
		if (effect instanceof SlotEffect.Send send) {
			send(send.homeAddress(), send.message());
		}
		else if (effect instanceof SlotEffect.Decision decided) {
			decided(decided.routingEffect());
		}
		else if (effect instanceof SlotEffect.HomeUnavailable silent) {
			routeHere(silent);
		}
	}

	private void decided(RoutingEffect decision) {
		if (decision instanceof RoutingEffect.Dispatch dispatch) {
			RoutingCallback callback = this.callbacks.get(dispatch.requestId());
			if (callback == null) {
				attemptEnded(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.CANCELLED, null);
				return;
			}
			callback.dispatch(dispatch);
		}
		else if (decision instanceof RoutingEffect.Refusal refusal) {
			RoutingCallback callback = this.callbacks.get(refusal.requestId());
			if (callback != null) {
				callback.refuse(refusal);
			}
		}
	}

	private void routeHere(SlotEffect.HomeUnavailable silent) {
		eventLog.information("home-silent")
			.with("service", silent.service())
			.with("request", silent.request().id())
			.with("home", silent.homeAddress())
			.write();
		this.homes.suspect(silent.homeAddress());
		RoutingCallback callback = this.callbacks.remove(silent.request().id());
		if (callback != null) {
			localRouter(silent.service()).admit(silent.request(), callback);
		}
	}

	@Override
	public void stop() {
		this.loop.stop();
	}

}
