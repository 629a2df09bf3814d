package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;

/**
 * Finds the leader of the control group and repeats requests until one is answered or its
 * deadline passes. Requests must be safe to repeat. It is a state machine: callers pass
 * events and the time, and collect effects by {@link #drain()}.
 */
public final class ControlRequester {

	private static final long RESEND_MILLIS = 500;

	private static final long REDIRECT_PAUSE_MILLIS = 50;

	private List<String> addresses = List.of();

	private String leader = "";

	private int nextAddress;

	private long lastId;

	private final Map<Long, Pending> pending = new LinkedHashMap<>();

	private RequesterEffects effects = new RequesterEffects(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

	/**
	 * Sets where control instances may be found.
	 * @param known peer addresses of all control instances
	 */
	public void updateAddresses(List<String> known) {
		this.addresses = List.copyOf(known);
	}

	/**
	 * Sends a request.
	 * @param request the request; its identifier is set here
	 * @param deadline the monotonic time at which to give up, in milliseconds
	 * @param now the monotonic time, in milliseconds
	 * @return the identifier under which the result comes as an effect
	 */
	public long submit(ControlRequest request, long deadline, long now) {
		this.lastId++;
		Pending added = new Pending(request.toBuilder().setId(this.lastId).build(), deadline);
		this.pending.put(this.lastId, added);
		send(added, now);
		return this.lastId;
	}

	/**
	 * Sends a request to one control instance, leader or not.
	 * @param address the peer address of the instance
	 * @param request the request; its identifier is set here
	 * @param deadline the monotonic time at which to give up, in milliseconds
	 * @param now the monotonic time, in milliseconds
	 * @return the identifier under which the result comes as an effect
	 */
	public long submitTo(String address, ControlRequest request, long deadline, long now) {
		this.lastId++;
		Pending added = new Pending(request.toBuilder().setId(this.lastId).build(), deadline);
		added.pinnedTarget = address;
		this.pending.put(this.lastId, added);
		send(added, now);
		return this.lastId;
	}

	private void send(Pending request, long now) {
		request.resendMillis = now + RESEND_MILLIS;
		String leaderOrNext = this.leader.isEmpty() ? nextAddress() : this.leader;
		String target = request.pinnedTarget.isEmpty() ? leaderOrNext : request.pinnedTarget;
		if (!target.isEmpty()) {
			request.target = target;
			this.effects.requests().add(new OutgoingRequest(target, request.request));
		}
	}

	private String nextAddress() {
		if (this.addresses.isEmpty()) {
			return "";
		}
		this.nextAddress = (this.nextAddress + 1) % this.addresses.size();
		return this.addresses.get(this.nextAddress);
	}

	/**
	 * Takes in an answer; a late one is ignored.
	 * @param response the answer
	 * @param now the monotonic time, in milliseconds
	 */
	public void receive(ControlResponse response, long now) {
		Pending answered = this.pending.get(response.getId());
		if (answered == null) {
			return;
		}
		if (response.hasNotLeader()) {
			this.leader = response.getNotLeader().getLeaderAddress();
			answered.target = "";
			answered.resendMillis = now + REDIRECT_PAUSE_MILLIS;
			return;
		}
		this.pending.remove(response.getId());
		if (answered.pinnedTarget.isEmpty()) {
			this.leader = answered.target;
		}
		this.effects.responses().add(response);
	}

	/**
	 * Lets time pass: repeats and gives up requests.
	 * @param now the monotonic time, in milliseconds
	 */
	public void tick(long now) {
		Iterator<Pending> iterator = this.pending.values().iterator();
		List<Pending> resends = new ArrayList<>();
		while (iterator.hasNext()) {
			Pending request = iterator.next();
			if (now >= request.deadline) {
				iterator.remove();
				this.effects.timedOutIds().add(request.request.getId());
			}
			else if (now >= request.resendMillis) {
				resends.add(request);
			}
		}
		for (Pending request : resends) {
			if (request.pinnedTarget.isEmpty() && !request.target.isEmpty() && request.target.equals(this.leader)) {
				// Silent, or it no longer leads: ask the others in turn.
				this.leader = "";
			}
			send(request, now);
		}
	}

	/**
	 * Hands over what is to be done since the last call.
	 * @return the effects
	 */
	public RequesterEffects drain() {
		RequesterEffects drained = this.effects;
		this.effects = new RequesterEffects(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
		return drained;
	}

	/**
	 * What the requester wants done.
	 *
	 * @param requests requests to be sent
	 * @param responses responses to requests
	 * @param timedOutIds identifiers of requests given up without an answer
	 */
	public record RequesterEffects(List<OutgoingRequest> requests, List<ControlResponse> responses,
			List<Long> timedOutIds) {
	}

	/**
	 * A request to be sent.
	 *
	 * @param address the peer address of a control instance
	 * @param request the request
	 */
	public record OutgoingRequest(String address, ControlRequest request) {
	}

	private static final class Pending {

		private final ControlRequest request;

		private final long deadline;

		private long resendMillis;

		private String target = "";

		private String pinnedTarget = "";

		private Pending(ControlRequest request, long deadline) {
			this.request = request;
			this.deadline = deadline;
		}

	}

}
