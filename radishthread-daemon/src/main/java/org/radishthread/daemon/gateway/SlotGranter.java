package org.radishthread.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.SlotEnd;
import org.radishthread.protocol.SlotGrant;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotQueued;
import org.radishthread.protocol.SlotRefusal;
import org.radishthread.protocol.SlotRequest;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.Urgency;

/**
 * Grants slots of upstreams to the requests that other instances hold. Repeated messages
 * change nothing; what an instance never gives back ends some time after the deadline of
 * its request.
 */
final class SlotGranter {

	private static final EventLog eventLog = EventLog.of(SlotGranter.class);

	// An attempt ends at its deadline; its end needs the time of one message.
	private static final long GRACE_NANOS = 1_000_000_000L;

	private static final long NANOS_PER_MICRO = 1_000;

	// Apart from the numbers that requests of this instance get.
	private final AtomicLong lastTicket = new AtomicLong(Long.MAX_VALUE / 2);

	private final RoutingService routing;

	private final ClusterService cluster;

	private final TimeSource time;

	private final BiConsumer<String, SlotMessage> sender;

	private final Map<Key, Granted> held = new ConcurrentHashMap<>();

	SlotGranter(RoutingService routing, ClusterService cluster, TimeSource time,
			BiConsumer<String, SlotMessage> sender) {
		this.routing = routing;
		this.cluster = cluster;
		this.time = time;
		this.sender = sender;
	}

	void receive(String address, SlotMessage message) {
		Key key = new Key(address, message.getRun(), message.getTicket());
		if (message.hasRequest()) {
			requested(key, message);
			return;
		}
		Granted granted = this.held.get(key);
		if (granted == null) {
			return;
		}
		RequestRouter router = this.routing.router(granted.service);
		switch (message.getBodyCase()) {
			case END -> granted.end(router, message.getEnd());
			case RETRY -> router.retry(granted.ticket.id());
			case HEDGE -> router.hedge(granted.ticket.id());
			case CLOSE -> close(key, granted);
			default -> eventLog.warning("slot-message-unknown").with("from", address).write();
		}
	}

	private void requested(Key key, SlotMessage message) {
		Granted known = this.held.get(key);
		if (known != null) {
			known.repeatLast();
			return;
		}
		if (this.cluster.servingState() != ServingState.READY) {
			this.sender.accept(key.address(),
					message.toBuilder()
						.setRefusal(SlotRefusal.newBuilder().setReason(RefusalReason.NOT_HOME.wireName()))
						.build());
			return;
		}
		Granted added = new Granted(key, message.getService(), ticket(message.getRequest()));
		this.held.put(key, added);
		this.routing.router(message.getService()).admit(added.ticket, added);
		added.confirmIfSilent();
	}

	private RoutingRequest ticket(SlotRequest request) {
		long now = this.time.monotonicNanos();
		Urgency urgency = new Urgency(request.getPriority(), now + request.getObjectiveMicros() * NANOS_PER_MICRO);
		return new RoutingRequest(this.lastTicket.incrementAndGet(), request.getCaller(), request.getMayRepeat(),
				now + request.getRemainingMicros() * NANOS_PER_MICRO, request.getZone(), urgency,
				request.getMaximumAttempts());
	}

	private void close(Key key, Granted granted) {
		this.held.remove(key);
		RequestRouter router = this.routing.router(granted.service);
		granted.endAll(router);
		router.close(granted.ticket.id());
	}

	// Ends what instances did not give back: they stopped, or their messages were lost.
	void sweep() {
		long overdue = this.time.monotonicNanos() - GRACE_NANOS;
		for (Map.Entry<Key, Granted> entry : List.copyOf(this.held.entrySet())) {
			if (entry.getValue().ticket.deadlineNanos() < overdue) {
				eventLog.information("slot-overdue")
					.with("instance", entry.getKey().address())
					.with("service", entry.getValue().service)
					.write();
				close(entry.getKey(), entry.getValue());
			}
		}
	}

	private record Key(String address, long run, long ticket) {
	}

	private final class Granted implements RoutingCallback {

		private final Key key;

		private final String service;

		private final RoutingRequest ticket;

		private final Set<String> inFlight = new HashSet<>();

		private @Nullable SlotMessage last;

		private Granted(Key key, String service, RoutingRequest ticket) {
			this.key = key;
			this.service = service;
			this.ticket = ticket;
		}

		private SlotMessage.Builder message() {
			return SlotMessage.newBuilder()
				.setService(this.service)
				.setTicket(this.key.ticket())
				.setRun(this.key.run());
		}

		private synchronized void send(SlotMessage message) {
			this.last = message;
			SlotGranter.this.sender.accept(this.key.address(), message);
		}

		private synchronized void confirmIfSilent() {
			if (this.last == null) {
				send(message().setQueued(SlotQueued.getDefaultInstance()).build());
			}
		}

		private synchronized void repeatLast() {
			if (this.last != null) {
				SlotGranter.this.sender.accept(this.key.address(), this.last);
			}
		}

		@Override
		public synchronized void dispatch(RoutingEffect.Dispatch dispatch) {
			this.inFlight.add(dispatch.upstream().name());
			send(message()
				.setGrant(SlotGrant.newBuilder()
					.setUpstream(dispatch.upstream().name())
					.setAddress(dispatch.upstream().address())
					.setKind(dispatch.kind().wireName())
					.setInFlight(dispatch.inFlight())
					.setWaitedMicros(dispatch.queueTimeNanos() / NANOS_PER_MICRO)
					.setHedgeAfterMicros(dispatch.hedgeAfterNanos() / NANOS_PER_MICRO))
				.build());
		}

		@Override
		public void refuse(RoutingEffect.Refusal refusal) {
			send(message()
				.setRefusal(SlotRefusal.newBuilder()
					.setReason(refusal.reason().wireName())
					.setRetryAfterMillis(refusal.retryAfterMillis()))
				.build());
		}

		private void end(RequestRouter router, SlotEnd ended) {
			boolean known;
			synchronized (this) {
				known = this.inFlight.remove(ended.getUpstream());
			}
			if (known) {
				LoadReport load = ended.hasLoad() ? new LoadReport(ended.getLoad().getRunning(),
						ended.getLoad().getWaiting(), ended.getLoad().getSlots(), ended.getLoad().getPacePercent())
						: null;
				router.attemptEnded(this.ticket.id(), ended.getUpstream(), AttemptResult.valueOf(ended.getResult()),
						load);
			}
		}

		private void endAll(RequestRouter router) {
			List<String> left;
			synchronized (this) {
				left = List.copyOf(this.inFlight);
			}
			left.forEach((upstream) -> end(router,
					SlotEnd.newBuilder().setUpstream(upstream).setResult(AttemptResult.CANCELLED.name()).build()));
		}

	}

}
