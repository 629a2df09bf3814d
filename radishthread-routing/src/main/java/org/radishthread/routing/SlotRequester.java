package org.radishthread.routing;

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
 * Asks the homes of services for slots of upstreams and keeps book of what was granted. A
 * home that stays silent is given up, so that the request can be routed by this
 * instance's own view; a grant that comes after that is given back. It is a state
 * machine: callers pass events and the time and carry out the effects.
 */
public final class SlotRequester {

	/**
	 * The time without any answer after which a home counts as silent, in nanoseconds:
	 * some thirty round trips between availability zones.
	 */
	static final long RESPONSE_TIMEOUT_NANOS = 150_000_000;

	/**
	 * The pause between two questions about a request that waits at its home, in
	 * nanoseconds; two unanswered ones let the home count as silent.
	 */
	static final long REQUEST_REPEAT_NANOS = 250_000_000;

	private static final long NANOS_PER_MICRO = 1_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long run;

	private final String zone;

	private final Map<Long, Asked> asked = new HashMap<>();

	private List<SlotEffect> effects = new ArrayList<>();

	/**
	 * Creates a requester.
	 * @param run a number that tells this run of the instance from earlier ones
	 * @param zone the availability zone of this instance
	 */
	public SlotRequester(long run, String zone) {
		this.run = run;
		this.zone = zone;
	}

	/**
	 * Asks for a slot.
	 * @param ticket the request
	 * @param service the name of the service
	 * @param home the address of the home
	 * @param now the monotonic time, in nanoseconds
	 * @return what to do
	 */
	public List<SlotEffect> requestSlot(RoutingRequest ticket, String service, String home, long now) {
		Asked added = new Asked(ticket, service, home);
		this.asked.put(ticket.id(), added);
		ask(added, now);
		return takeEffects();
	}

	private void ask(Asked request, long now) {
		request.waiting = true;
		request.askedNanos = now;
		request.unanswered++;
		Urgency urgency = request.ticket.urgency();
		send(request,
				message(request).setRequest(SlotRequest.newBuilder()
					.setCaller(request.ticket.caller())
					.setMayRepeat(request.ticket.mayRepeat())
					.setRemainingMicros(Math.max(0, request.ticket.deadlineNanos() - now) / NANOS_PER_MICRO)
					.setPriority(urgency.priority())
					.setObjectiveMicros(Math.max(0, urgency.objectiveAtNanos() - now) / NANOS_PER_MICRO)
					.setMaximumAttempts(request.ticket.maximumAttempts())
					.setZone(this.zone)));
	}

	private SlotMessage.Builder message(Asked request) {
		return SlotMessage.newBuilder().setService(request.service).setTicket(request.ticket.id()).setRun(this.run);
	}

	private void send(Asked request, SlotMessage.Builder message) {
		this.effects.add(new SlotEffect.Send(request.home, message.build()));
	}

	/**
	 * Takes in a message of a home.
	 * @param home the address of the home
	 * @param message the message
	 * @param now the monotonic time, in nanoseconds
	 * @return what to do
	 */
	public List<SlotEffect> receive(String home, SlotMessage message, long now) {
		if (message.getRun() != this.run) {
			return List.of();
		}
		Asked request = this.asked.get(message.getTicket());
		if (request == null || !request.home.equals(home)) {
			giveBack(home, message);
			return takeEffects();
		}
		request.unanswered = 0;
		switch (message.getBodyCase()) {
			case GRANT -> granted(request, message.getGrant());
			case REFUSAL -> refused(request, message.getRefusal());
			default -> {
				request.queued = true;
			}
		}
		return takeEffects();
	}

	private void giveBack(String home, SlotMessage message) {
		if (!message.hasGrant()) {
			return;
		}
		SlotMessage.Builder answer = SlotMessage.newBuilder()
			.setService(message.getService())
			.setTicket(message.getTicket())
			.setRun(message.getRun());
		this.effects.add(new SlotEffect.Send(home,
				answer.setEnd(end(message.getGrant().getUpstream(), AttemptResult.CANCELLED)).build()));
		this.effects.add(new SlotEffect.Send(home, answer.setClose(SlotClose.getDefaultInstance()).build()));
	}

	private static SlotEnd end(String upstream, AttemptResult result) {
		return SlotEnd.newBuilder().setUpstream(upstream).setResult(result.name()).build();
	}

	private void granted(Asked request, SlotGrant grant) {
		if (!request.granted.add(grant.getUpstream())) {
			// The home repeated its answer.
			return;
		}
		request.waiting = false;
		Upstream upstream = new Upstream(grant.getUpstream(), grant.getAddress(), "", 1, 0, true);
		AttemptKind kind = AttemptKind.valueOf(grant.getKind().toUpperCase(Locale.ROOT));
		this.effects.add(new SlotEffect.Decision(
				new RoutingEffect.Dispatch(request.ticket.id(), upstream, kind, grant.getInFlight(),
						grant.getWaitedMicros() * NANOS_PER_MICRO, grant.getHedgeAfterMicros() * NANOS_PER_MICRO)));
	}

	private void refused(Asked request, SlotRefusal refusal) {
		if (!request.waiting) {
			return;
		}
		request.waiting = false;
		RefusalReason reason = RefusalReason.fromWireName(refusal.getReason());
		if (reason == RefusalReason.NOT_HOME) {
			fallBack(request);
			return;
		}
		this.effects.add(new SlotEffect.Decision(
				new RoutingEffect.Refusal(request.ticket.id(), reason, refusal.getRetryAfterMillis())));
	}

	private void fallBack(Asked request) {
		this.asked.remove(request.ticket.id());
		send(request, message(request).setClose(SlotClose.getDefaultInstance()));
		this.effects.add(new SlotEffect.HomeUnavailable(request.ticket, request.service, request.home));
	}

	/**
	 * Learns that an attempt ended.
	 * @param ticket the request
	 * @param upstream the name of the upstream
	 * @param result how the attempt ended
	 * @param load what the upstream said of its load, if it did
	 * @return what to do
	 */
	public List<SlotEffect> completeAttempt(long ticket, String upstream, AttemptResult result,
			@Nullable LoadReport load) {
		Asked request = this.asked.get(ticket);
		if (request != null) {
			SlotEnd.Builder end = end(upstream, result).toBuilder();
			if (load != null) {
				end.setLoad(org.radishthread.protocol.LoadReport.newBuilder()
					.setRunning(load.runningRequests())
					.setWaiting(load.waitingRequests())
					.setSlots(load.slots())
					.setPacePercent(load.pacePercent()));
			}
			send(request, message(request).setEnd(end));
		}
		return takeEffects();
	}

	/**
	 * Asks for another attempt after one that failed.
	 * @param ticket the request
	 * @param now the monotonic time, in nanoseconds
	 * @return what to do
	 */
	public List<SlotEffect> retry(long ticket, long now) {
		Asked request = this.asked.get(ticket);
		if (request != null) {
			request.waiting = true;
			request.retrying = true;
			request.queued = false;
			request.askedNanos = now;
			send(request, message(request).setRetry(SlotRetry.getDefaultInstance()));
		}
		return takeEffects();
	}

	/**
	 * Asks for a second attempt beside a slow one.
	 * @param ticket the request
	 * @return what to do
	 */
	public List<SlotEffect> hedge(long ticket) {
		Asked request = this.asked.get(ticket);
		if (request != null) {
			send(request, message(request).setHedge(SlotHedge.getDefaultInstance()));
		}
		return takeEffects();
	}

	/**
	 * Forgets a request whose caller has its answer or went away.
	 * @param ticket the request
	 * @return what to do
	 */
	public List<SlotEffect> close(long ticket) {
		Asked request = this.asked.remove(ticket);
		if (request != null) {
			send(request, message(request).setClose(SlotClose.getDefaultInstance()));
		}
		return takeEffects();
	}

	/**
	 * Lets time pass: repeats questions and gives silent homes up.
	 * @param now the monotonic time, in nanoseconds
	 * @return what to do
	 */
	public List<SlotEffect> tick(long now) {
		for (Asked request : List.copyOf(this.asked.values())) {
			if (request.waiting) {
				tick(request, now);
			}
		}
		return takeEffects();
	}

	private void tick(Asked request, long now) {
		long silence = now - request.askedNanos;
		if (!request.queued && silence > RESPONSE_TIMEOUT_NANOS) {
			silent(request);
		}
		else if (request.queued && silence > REQUEST_REPEAT_NANOS) {
			if (request.unanswered >= 2) {
				silent(request);
			}
			else if (!request.retrying) {
				ask(request, now);
			}
		}
	}

	private void silent(Asked request) {
		if (!request.retrying) {
			fallBack(request);
			return;
		}
		request.waiting = false;
		this.effects.add(new SlotEffect.Decision(new RoutingEffect.Refusal(request.ticket.id(),
				RefusalReason.RETRY_BUDGET, RESPONSE_TIMEOUT_NANOS / NANOS_PER_MILLI)));
	}

	/**
	 * Returns whether a request waits for its home.
	 * @return whether {@link #tick} is worth a call
	 */
	public boolean needsTick() {
		return this.asked.values().stream().anyMatch((request) -> request.waiting);
	}

	/**
	 * Returns whether this requester knows a request.
	 * @param ticket the request
	 * @return whether it asked a home for it and was not closed since
	 */
	public boolean hasOpenRequest(long ticket) {
		return this.asked.containsKey(ticket);
	}

	private List<SlotEffect> takeEffects() {
		List<SlotEffect> taken = this.effects;
		this.effects = new ArrayList<>();
		return taken;
	}

	private static final class Asked {

		private final RoutingRequest ticket;

		private final String service;

		private final String home;

		private final Set<String> granted = new HashSet<>();

		private boolean waiting;

		private boolean queued;

		private boolean retrying;

		private int unanswered;

		private long askedNanos;

		private Asked(RoutingRequest ticket, String service, String home) {
			this.ticket = ticket;
			this.service = service;
			this.home = home;
		}

	}

}
