package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.SlotEnd;
import org.radishthread.protocol.SlotGrant;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotProbe;
import org.radishthread.protocol.SlotQueued;
import org.radishthread.protocol.SlotRefusal;
import org.radishthread.protocol.SlotRequest;
import org.radishthread.routing.AnnouncementVersion;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.UpstreamPool;
import org.radishthread.routing.Urgency;

/**
 * Grants slots of upstreams to the requests of other instances, when this instance is the
 * home of the service. Repeated messages have no effect, so that messages may be sent
 * again after a loss. A request that its instance never closes is closed here some time
 * after its deadline, unless the instance still uses a slot: an upload may take longer
 * than its deadline. Safe for use by several threads.
 */
final class SlotGranter {

	private static final EventLog eventLog = EventLog.of(SlotGranter.class);

	// Leaves time for the message that reports an attempt completed at the deadline.
	private static final long EXPIRY_GRACE_NANOS = 1_000_000_000L;

	private static final long NANOS_PER_MICRO = 1_000;

	// Starts far above the request numbers of this instance, because the same
	// routers use both as ids.
	private final AtomicLong lastRequestId = new AtomicLong(Long.MAX_VALUE / 2);

	// The peer address of this instance.
	private final String homeAddress;

	private final RoutingService routing;

	private final LiveGateways gateways;

	private final TimeSource time;

	private final BiConsumer<String, SlotMessage> messageSender;

	private final Map<RequestKey, RemoteRequest> remoteRequests = new ConcurrentHashMap<>();

	SlotGranter(String homeAddress, RoutingService routing, LiveGateways gateways, TimeSource time,
			BiConsumer<String, SlotMessage> messageSender) {
		this.homeAddress = homeAddress;
		this.routing = routing;
		this.gateways = gateways;
		this.time = time;
		this.messageSender = messageSender;
	}

	void receive(String address, SlotMessage message) {
		recordReachability(address, message);
		if (message.hasProbe()) {
			respondToProbe(address, message);
			return;
		}
		RequestKey key = new RequestKey(address, message.getRun(), message.getTicket());
		if (message.hasRequest()) {
			admit(key, message);
			return;
		}
		RemoteRequest request = this.remoteRequests.get(key);
		if (request == null) {
			return;
		}
		LocalRequestRouter router = this.routing.router(request.pool);
		switch (message.getBodyCase()) {
			case END -> request.completeAttempt(router, message.getEnd());
			case RETRY -> request.retry(router);
			case HEDGE -> router.hedge(request.routingRequest.id());
			case CLOSE -> {
				if (message.getClose().getTakenBack()) {
					router.takeBack(request.routingRequest.id());
				}
				close(key, request);
			}
			default -> eventLog.warning("slot-message-unexpected").with("from", address).write();
		}
	}

	private void respondToProbe(String address, SlotMessage message) {
		if (this.gateways.mayGrant()) {
			this.messageSender.accept(address,
					message.toBuilder().setProbe(SlotProbe.newBuilder().setResponse(true)).build());
		}
	}

	private void recordReachability(String address, SlotMessage message) {
		boolean known = message.getReachability() == SlotMessage.Reachability.PARTITIONED
				|| message.getReachability() == SlotMessage.Reachability.REACHABLE;
		if (known && !message.hasEnd() && !message.hasClose()) {
			this.routing.router(UpstreamPool.of(message.getService()))
				.recordReachability(address, message.getReachability() == SlotMessage.Reachability.PARTITIONED);
		}
	}

	private void admit(RequestKey key, SlotMessage message) {
		RemoteRequest existingRequest = this.remoteRequests.get(key);
		if (existingRequest != null) {
			existingRequest.resendLastMessage();
			return;
		}
		if (!this.gateways.mayGrant()) {
			this.messageSender.accept(key.peerAddress(),
					message.toBuilder()
						.setRefusal(SlotRefusal.newBuilder().setReason(RefusalReason.NOT_HOME.wireName()))
						.build());
			return;
		}
		RemoteRequest request = new RemoteRequest(key, UpstreamPool.of(message.getService()),
				toRoutingRequest(message.getRequest(), key.peerAddress()));
		this.remoteRequests.put(key, request);
		this.routing.router(request.pool).admit(request.routingRequest, request);
		request.sendQueuedIfUndecided();
	}

	private static LoadReport toLoadReport(org.radishthread.protocol.LoadReport message) {
		return new LoadReport(message.getRunning(), message.getWaiting(), message.getSlots(), message.getPacePercent(),
				message.getLeaving(), message.getRefusedMillis(),
				message.hasLimitPerSecond() ? message.getLimitPerSecond() : LoadReport.UNLIMITED,
				message.getColdMillis(), new AnnouncementVersion(message.getIncarnation(), message.getSequence()));
	}

	private RoutingRequest toRoutingRequest(SlotRequest request, String origin) {
		long nowNanos = this.time.monotonicNanos();
		Urgency urgency = new Urgency(request.getPriority(), nowNanos + request.getObjectiveMicros() * NANOS_PER_MICRO);
		return new RoutingRequest(this.lastRequestId.incrementAndGet(), request.getCaller(), request.getMayRepeat(),
				nowNanos + request.getRemainingMicros() * NANOS_PER_MICRO, request.getZone(), urgency,
				request.getMaximumAttempts(), origin, request.getDigest(), request.getWorkspace(),
				request.getSubstituted());
	}

	private void close(RequestKey key, RemoteRequest request) {
		this.remoteRequests.remove(key);
		LocalRequestRouter router = this.routing.router(request.pool);
		request.releaseAttempts(router);
		router.close(request.routingRequest.id());
	}

	// Closes requests that were not closed by their instances, which stopped or whose
	// messages were lost. An instance that runs is asked about its slots: it returns a
	// grant of a request that it has closed, and ignores one that it uses.
	void closeExpired() {
		long expiryNanos = this.time.monotonicNanos() - EXPIRY_GRACE_NANOS;
		for (Map.Entry<RequestKey, RemoteRequest> entry : List.copyOf(this.remoteRequests.entrySet())) {
			boolean expired = entry.getValue().routingRequest.deadlineNanos() < expiryNanos;
			if (expired && !entry.getValue().askForGrant()) {
				eventLog.information("slot-request-expired")
					.with("instance", entry.getKey().peerAddress())
					.with("service", entry.getValue().pool.key())
					.write();
				close(entry.getKey(), entry.getValue());
			}
		}
	}

	/**
	 * Identifies a request of another instance.
	 *
	 * @param peerAddress the address for messages to the instance
	 * @param instanceRun a number that distinguishes restarts of the instance
	 * @param requestId the id that the instance gave to the request
	 */
	private record RequestKey(String peerAddress, long instanceRun, long requestId) {
	}

	/**
	 * Request of another instance that waits for a slot or uses one.
	 */
	private final class RemoteRequest implements RoutingCallback {

		private final RequestKey key;

		private final UpstreamPool pool;

		private final RoutingRequest routingRequest;

		private final OpenGrants openGrants = new OpenGrants();

		// The run of the instance by which it is known to the cluster.
		private final long incarnation;

		private @Nullable SlotMessage lastMessage;

		private boolean askedForGrant;

		private RemoteRequest(RequestKey key, UpstreamPool pool, RoutingRequest routingRequest) {
			this.key = key;
			this.pool = pool;
			this.routingRequest = routingRequest;
			this.incarnation = SlotGranter.this.gateways.incarnation(key.peerAddress());
		}

		private SlotMessage.Builder message() {
			return SlotMessage.newBuilder()
				.setService(this.pool.key())
				.setTicket(this.key.requestId())
				.setRun(this.key.instanceRun());
		}

		private synchronized void send(SlotMessage message) {
			this.lastMessage = message;
			SlotGranter.this.messageSender.accept(this.key.peerAddress(), message);
		}

		// Answered at once like a new request, so that the instance does not take a home
		// at which the request waits for a silent one.
		private void retry(LocalRequestRouter router) {
			forgetLastMessage();
			router.retry(this.routingRequest.id());
			sendQueuedIfUndecided();
		}

		private synchronized void forgetLastMessage() {
			this.lastMessage = null;
		}

		private synchronized void sendQueuedIfUndecided() {
			if (this.lastMessage == null) {
				send(message().setQueued(SlotQueued.getDefaultInstance()).build());
			}
		}

		private synchronized void resendLastMessage() {
			if (this.lastMessage != null) {
				SlotGranter.this.messageSender.accept(this.key.peerAddress(), this.lastMessage);
			}
		}

		// Returns whether the instance may use a slot and runs, so that it is worth
		// asking.
		private synchronized boolean askForGrant() {
			boolean running = this.incarnation != LiveGateways.NOT_LIVE
					&& this.incarnation == SlotGranter.this.gateways.incarnation(this.key.peerAddress());
			if (!running || this.openGrants.isEmpty() || this.lastMessage == null || !this.lastMessage.hasGrant()) {
				return false;
			}
			this.askedForGrant = true;
			resendLastMessage();
			return true;
		}

		@Override
		public void onDispatch(RoutingEffect.Dispatch dispatch) {
			if (!this.openGrants.add(dispatch.upstream().name())) {
				SlotGranter.this.routing.router(this.pool)
					.releaseAttempt(this.routingRequest.id(), dispatch.upstream().name());
				return;
			}
			send(message()
				.setGrant(SlotGrant.newBuilder()
					.setUpstream(dispatch.upstream().name())
					.setAddress(dispatch.upstream().address())
					.setKind(dispatch.kind().wireName())
					.setInFlight(dispatch.inFlight())
					.setWaitedMicros(dispatch.queueTimeNanos() / NANOS_PER_MICRO)
					.setHedgeAfterMicros(dispatch.hedgeAfterNanos() / NANOS_PER_MICRO)
					.setLimitCounted(dispatch.limitCounted())
					.setIncarnation(dispatch.upstream().incarnation())
					.setSequence(dispatch.upstream().sequence())
					.setRelay(relayAddress(dispatch)))
				.build());
		}

		// Empty without a relay; the router leaves the address of the home out.
		private String relayAddress(RoutingEffect.Dispatch dispatch) {
			String relay = dispatch.relay();
			if (relay == null) {
				return "";
			}
			return relay.isEmpty() ? SlotGranter.this.homeAddress : relay;
		}

		@Override
		public void onRefusal(RoutingEffect.Refusal refusal) {
			RefusalReason generalReason = refusal.reason().generalReason();
			send(message()
				.setRefusal(SlotRefusal.newBuilder()
					.setReason(generalReason.wireName())
					.setSpecificReason((generalReason != refusal.reason()) ? refusal.reason().wireName() : "")
					.setRetryAfterMillis(refusal.retryAfterMillis()))
				.build());
		}

		private void completeAttempt(LocalRequestRouter router, SlotEnd end) {
			AttemptResult result = AttemptResult.fromWireName(end.getResult(), end.getConnectionLost());
			if (!this.openGrants.remove(end.getUpstream())) {
				return;
			}
			if (result == AttemptResult.CANCELLED && isAskedForGrant()) {
				// The time until now says nothing about the upstream.
				router.releaseAttempt(this.routingRequest.id(), end.getUpstream());
				return;
			}
			LoadReport loadReport = end.hasLoad() ? toLoadReport(end.getLoad()) : null;
			router.completeAttempt(this.routingRequest.id(), end.getUpstream(), result, loadReport);
		}

		private synchronized boolean isAskedForGrant() {
			return this.askedForGrant;
		}

		// An instance reports the end of each attempt before it closes the request, so
		// nothing is known about the ends of the remaining ones.
		private void releaseAttempts(LocalRequestRouter router) {
			this.openGrants.close().forEach((upstream) -> router.releaseAttempt(this.routingRequest.id(), upstream));
		}

	}

}
