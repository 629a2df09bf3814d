package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.SlotClose;
import org.radishthread.protocol.SlotEnd;
import org.radishthread.protocol.SlotGrant;
import org.radishthread.protocol.SlotHedge;
import org.radishthread.protocol.SlotMessage;
import org.radishthread.protocol.SlotRefusal;
import org.radishthread.protocol.SlotRequest;
import org.radishthread.protocol.SlotRetry;

/**
 * Requests slots of upstreams from the homes of their services and tracks the grants, the
 * messages by which a home assigns a slot to a request. If a home does not respond, the
 * next one is asked instead, or the request is routed on this instance, and a grant that
 * arrives later is returned. So is a grant of a request that was refused meanwhile, or
 * that has an attempt already: each request for an attempt is answered by one decision,
 * whoever makes it first.
 * <p>
 * This class is a state machine: each method takes an event with the monotonic time and
 * returns the effects to carry out. It is not safe for concurrent use.
 */
public final class SlotRequester {

	/**
	 * The time without a response after which a home counts as unavailable if its link is
	 * free: about thirty round trips between availability zones.
	 */
	public static final Duration MINIMUM_RESPONSE_TIMEOUT = Duration.ofMillis(150);

	/**
	 * The interval at which the slot request is repeated for a request that is queued at
	 * its home, in nanoseconds. After two repetitions without a response the home counts
	 * as unavailable.
	 */
	static final long REQUEST_REPEAT_NANOS = 250_000_000;

	private static final SlotClose TAKEN_BACK = SlotClose.newBuilder().setTakenBack(true).build();

	private static final long NANOS_PER_MICRO = 1_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long runId;

	private final long responseTimeoutNanos;

	private final String zone;

	private final Map<Long, RequestState> requests = new HashMap<>();

	private List<SlotEffect> effects = new ArrayList<>();

	/**
	 * Creates a requester.
	 * @param runId a number that distinguishes this run of the instance from earlier ones
	 * @param zone the availability zone of this instance
	 * @param responseTimeout the time without a response to the request for a retry after
	 * which a home counts as unavailable
	 */
	public SlotRequester(long runId, String zone, Duration responseTimeout) {
		this.responseTimeoutNanos = responseTimeout.toNanos();
		this.runId = runId;
		this.zone = zone;
	}

	/**
	 * Returns the number that distinguishes this run of the instance from earlier ones.
	 * @return the number, which messages to homes carry
	 */
	public long runId() {
		return this.runId;
	}

	/**
	 * Requests a slot from the home of a service.
	 * @param request the request
	 * @param service the name of the service
	 * @param homeAddress the peer address of the home
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<SlotEffect> requestSlot(RoutingRequest request, String service, String homeAddress, long nowNanos) {
		return open(new RequestState(request, service, homeAddress, Set.of(homeAddress)), nowNanos);
	}

	/**
	 * Requests a slot from another home, because the former one is unavailable. It must
	 * not have been asked for this request before.
	 * @param unavailable the effect that names the former home
	 * @param homeAddress the peer address of the other home
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<SlotEffect> requestSlotElsewhere(SlotEffect.HomeUnavailable unavailable, String homeAddress,
			long nowNanos) {
		Set<String> askedHomes = new HashSet<>(unavailable.askedHomes());
		askedHomes.add(homeAddress);
		return open(new RequestState(unavailable.request().substitute(), unavailable.service(), homeAddress,
				Set.copyOf(askedHomes)), nowNanos);
	}

	private List<SlotEffect> open(RequestState state, long nowNanos) {
		this.requests.put(state.request.id(), state);
		sendSlotRequest(state, nowNanos);
		return takeEffects();
	}

	private void sendSlotRequest(RequestState state, long nowNanos) {
		state.phase = Phase.AWAITED;
		state.lastRequestNanos = nowNanos;
		state.unacknowledgedRequests++;
		Urgency urgency = state.request.urgency();
		send(state,
				newMessage(state).setRequest(SlotRequest.newBuilder()
					.setCaller(state.request.caller())
					.setMayRepeat(state.request.mayRepeat())
					.setRemainingMicros(Math.max(0, state.request.deadlineNanos() - nowNanos) / NANOS_PER_MICRO)
					.setPriority(urgency.priority())
					.setObjectiveMicros(Math.max(0, urgency.objectiveAtNanos() - nowNanos) / NANOS_PER_MICRO)
					.setMaximumAttempts(state.request.maximumAttempts())
					.setZone(this.zone)
					.setDigest(state.request.digest())
					.setWorkspace(state.request.workspace())
					.setSubstituted(state.request.substituted())));
	}

	private SlotMessage.Builder newMessage(RequestState state) {
		return SlotMessage.newBuilder().setService(state.service).setTicket(state.request.id()).setRun(this.runId);
	}

	private void send(RequestState state, SlotMessage.Builder message) {
		this.effects.add(new SlotEffect.Send(state.homeAddress, message.build()));
	}

	/**
	 * Processes a message from a home.
	 * @param homeAddress the peer address of the home
	 * @param message the message
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<SlotEffect> receive(String homeAddress, SlotMessage message, long nowNanos) {
		if (message.getRun() != this.runId) {
			return List.of();
		}
		RequestState state = this.requests.get(message.getTicket());
		if (state == null || !state.homeAddress.equals(homeAddress)) {
			returnGrant(homeAddress, message);
			return takeEffects();
		}
		state.unacknowledgedRequests = 0;
		switch (message.getBodyCase()) {
			case GRANT -> receiveGrant(state, message.getGrant());
			case REFUSAL -> receiveRefusal(state, message.getRefusal());
			default -> {
				state.queuedAtHome = true;
			}
		}
		return takeEffects();
	}

	private void returnGrant(String homeAddress, SlotMessage message) {
		if (!message.hasGrant()) {
			return;
		}
		SlotMessage.Builder response = SlotMessage.newBuilder()
			.setService(message.getService())
			.setTicket(message.getTicket())
			.setRun(message.getRun());
		this.effects.add(new SlotEffect.Send(homeAddress,
				response.setEnd(slotEnd(message.getGrant().getUpstream(), AttemptResult.CANCELLED)).build()));
		this.effects.add(new SlotEffect.Send(homeAddress, response.setClose(TAKEN_BACK).build()));
	}

	private static SlotEnd slotEnd(String upstream, AttemptResult result) {
		return SlotEnd.newBuilder()
			.setUpstream(upstream)
			.setResult(result.wireName())
			.setConnectionLost(result.isMarked())
			.build();
	}

	private void receiveGrant(RequestState state, SlotGrant grant) {
		if (!state.grantedUpstreams.add(grant.getUpstream())) {
			// The home repeated the grant in response to a repeated request.
			return;
		}
		AttemptKind kind = AttemptKind.valueOf(grant.getKind().toUpperCase(Locale.ROOT));
		if (!state.phase.accepts(kind, state.request.mayRepeat())) {
			send(state, newMessage(state).setEnd(slotEnd(grant.getUpstream(), AttemptResult.CANCELLED)));
			return;
		}
		// The exchange acts on the end of an answer to a retry, but not on that of a
		// hedge.
		AttemptKind dispatchedKind = (state.phase == Phase.AWAITED && kind == AttemptKind.HEDGE) ? AttemptKind.RETRY
				: kind;
		state.phase = Phase.GRANTED;
		Upstream upstream = new Upstream(grant.getUpstream(), grant.getAddress(), "", 1, grant.getIncarnation(), true,
				grant.getSequence(), 0);
		this.effects.add(new SlotEffect.Decision(
				new RoutingEffect.Dispatch(state.request.id(), upstream, dispatchedKind, grant.getInFlight(), 0,
						grant.getWaitedMicros() * NANOS_PER_MICRO, grant.getHedgeAfterMicros() * NANOS_PER_MICRO,
						grant.getLimitCounted(), grant.getRelay().isEmpty() ? null : grant.getRelay())));
	}

	private void receiveRefusal(RequestState state, SlotRefusal refusal) {
		if (state.phase != Phase.AWAITED) {
			return;
		}
		state.phase = Phase.REFUSED;
		RefusalReason reason = RefusalReason.fromWireNames(refusal.getReason(), refusal.getSpecificReason());
		if (reason == RefusalReason.NOT_HOME) {
			leaveHome(state);
			return;
		}
		this.effects.add(new SlotEffect.Decision(
				new RoutingEffect.Refusal(state.request.id(), reason, refusal.getRetryAfterMillis())));
	}

	private void abandonHome(RequestState state) {
		this.requests.remove(state.request.id());
		send(state, newMessage(state).setClose(TAKEN_BACK));
		this.effects
			.add(new SlotEffect.HomeUnavailable(state.request, state.service, state.homeAddress, state.askedHomes));
	}

	/**
	 * Reports the completion of an attempt to the home, which frees the slot.
	 * @param requestId the identifier of the request
	 * @param upstream the name of the upstream
	 * @param result the result of the attempt
	 * @param report the load report in the response, or {@code null}
	 * @return the effects to carry out
	 */
	public List<SlotEffect> completeAttempt(long requestId, String upstream, AttemptResult result,
			@Nullable LoadReport report) {
		RequestState state = this.requests.get(requestId);
		if (state != null) {
			SlotEnd.Builder slotEnd = slotEnd(upstream, result).toBuilder();
			if (report != null) {
				slotEnd.setLoad(toMessage(report));
			}
			state.arrived |= result.mayHaveArrived();
			send(state, newMessage(state).setEnd(slotEnd));
		}
		return takeEffects();
	}

	private static org.radishthread.protocol.LoadReport toMessage(LoadReport report) {
		org.radishthread.protocol.LoadReport.Builder message = org.radishthread.protocol.LoadReport.newBuilder()
			.setRunning(report.runningRequests())
			.setWaiting(report.waitingRequests())
			.setSlots(report.slots())
			.setPacePercent(report.pacePercent())
			.setLeaving(report.leaving())
			.setRefusedMillis(report.refusedMillis())
			.setColdMillis(report.coldMillis())
			.setIncarnation(report.departure().incarnation())
			.setSequence(report.departure().sequence());
		if (report.isLimited()) {
			message.setLimitPerSecond(report.limitPerSecond());
		}
		return message.build();
	}

	/**
	 * Requests another attempt after one that failed.
	 * @param requestId the identifier of the request
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<SlotEffect> retry(long requestId, long nowNanos) {
		RequestState state = this.requests.get(requestId);
		if (state != null) {
			state.phase = Phase.AWAITED;
			state.retryRequested = true;
			state.queuedAtHome = false;
			state.lastRequestNanos = nowNanos;
			send(state, newMessage(state).setRetry(SlotRetry.getDefaultInstance()));
		}
		return takeEffects();
	}

	/**
	 * Requests a second attempt in parallel to a slow one.
	 * @param requestId the identifier of the request
	 * @return the effects to carry out
	 */
	public List<SlotEffect> hedge(long requestId) {
		RequestState state = this.requests.get(requestId);
		if (state != null) {
			send(state, newMessage(state).setHedge(SlotHedge.getDefaultInstance()));
		}
		return takeEffects();
	}

	/**
	 * Closes a request because its caller has received a response or has disconnected.
	 * @param requestId the identifier of the request
	 * @return the effects to carry out
	 */
	public List<SlotEffect> close(long requestId) {
		RequestState state = this.requests.remove(requestId);
		if (state != null) {
			send(state, newMessage(state).setClose(SlotClose.getDefaultInstance()));
		}
		return takeEffects();
	}

	/**
	 * Performs the work that depends on time: repeats slot requests, and abandons homes
	 * that do not respond.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the effects to carry out
	 */
	public List<SlotEffect> tick(long nowNanos) {
		for (RequestState state : List.copyOf(this.requests.values())) {
			if (state.phase == Phase.AWAITED) {
				tick(state, nowNanos);
			}
		}
		return takeEffects();
	}

	private void tick(RequestState state, long nowNanos) {
		long elapsedNanos = nowNanos - state.lastRequestNanos;
		if (!state.queuedAtHome && elapsedNanos > responseTimeoutNanos(state)) {
			leaveHome(state);
		}
		else if (state.queuedAtHome && elapsedNanos > REQUEST_REPEAT_NANOS) {
			if (state.unacknowledgedRequests >= 2) {
				leaveHome(state);
			}
			else {
				// Of a retry too: the home knows the request, and repeats its answer.
				sendSlotRequest(state, nowNanos);
			}
		}
	}

	// Another home can grant the first slot as well, while a retry that its home does not
	// decide on is refused: for that one it is worth waiting until the link is free.
	private long responseTimeoutNanos(RequestState state) {
		return state.retryRequested ? this.responseTimeoutNanos : MINIMUM_RESPONSE_TIMEOUT.toNanos();
	}

	// The retry budget is known to the home only.
	private void leaveHome(RequestState state) {
		if (!state.retryRequested || !state.arrived) {
			abandonHome(state);
			return;
		}
		state.phase = Phase.REFUSED;
		this.effects.add(new SlotEffect.Decision(new RoutingEffect.Refusal(state.request.id(),
				RefusalReason.HOME_SILENT, this.responseTimeoutNanos / NANOS_PER_MILLI)));
	}

	/**
	 * Returns whether {@link #tick} must be called at intervals, because a request waits
	 * for the decision of its home.
	 * @return whether {@link #tick} has work
	 */
	public boolean needsTick() {
		return this.requests.values().stream().anyMatch((state) -> state.phase == Phase.AWAITED);
	}

	/**
	 * Returns whether a slot was requested for a request that has neither been closed nor
	 * been returned for routing on this instance.
	 * @param requestId the identifier of the request
	 * @return whether the request is open here
	 */
	public boolean hasOpenRequest(long requestId) {
		return this.requests.containsKey(requestId);
	}

	private List<SlotEffect> takeEffects() {
		List<SlotEffect> pendingEffects = this.effects;
		this.effects = new ArrayList<>();
		return pendingEffects;
	}

	/**
	 * What was decided on the last request for an attempt.
	 */
	private enum Phase {

		/**
		 * Nothing yet.
		 */
		AWAITED {

			@Override
			boolean accepts(AttemptKind kind, boolean mayRepeat) {
				return true;
			}

		},

		/**
		 * An attempt was granted; its end may not be known yet.
		 */
		GRANTED {

			@Override
			boolean accepts(AttemptKind kind, boolean mayRepeat) {
				return kind == AttemptKind.HEDGE && mayRepeat;
			}

		},

		/**
		 * The request was refused, by the home or because the home is silent.
		 */
		REFUSED {

			@Override
			boolean accepts(AttemptKind kind, boolean mayRepeat) {
				return false;
			}

		};

		abstract boolean accepts(AttemptKind kind, boolean mayRepeat);

	}

	private static final class RequestState {

		private final RoutingRequest request;

		private final String service;

		private final String homeAddress;

		private final Set<String> askedHomes;

		private final Set<String> grantedUpstreams = new HashSet<>();

		private Phase phase = Phase.AWAITED;

		private boolean queuedAtHome;

		private boolean retryRequested;

		// Whether an attempt may have arrived at an upstream.
		private boolean arrived;

		private int unacknowledgedRequests;

		private long lastRequestNanos;

		private RequestState(RoutingRequest request, String service, String homeAddress, Set<String> askedHomes) {
			this.request = request;
			this.service = service;
			this.homeAddress = homeAddress;
			this.askedHomes = askedHomes;
		}

	}

}
