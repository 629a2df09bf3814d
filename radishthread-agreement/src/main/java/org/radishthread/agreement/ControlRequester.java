package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.radishthread.kernel.Backoff;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;

/**
 * Sends requests to the leader of the control group. Discovers the leader, and resends a
 * request until its response arrives or its deadline passes; requests must therefore be
 * safe to repeat. Performs no I/O and uses no thread or clock: responses and the
 * monotonic time are passed in, and {@link #drain()} returns the effects. Not
 * thread-safe.
 */
public final class ControlRequester {

	private static final long RESEND_INTERVAL_MILLIS = 500;

	private static final long REDIRECT_DELAY_MILLIS = 50;

	// A leader that was silent for longer may have been lost since.
	private static final long LEADER_TRUST_MILLIS = 1_000;

	// The delay grows to this while no leader is known.
	private static final long MAXIMUM_REDIRECT_DELAY_MILLIS = 400;

	private List<String> addresses = List.of();

	private String leaderAddress = "";

	private long lastLeaderResponseMillis = Long.MIN_VALUE / 2;

	private String ownAddress = "";

	private int addressIndex;

	private final Backoff redirectDelay = new Backoff(REDIRECT_DELAY_MILLIS, MAXIMUM_REDIRECT_DELAY_MILLIS);

	private long lastRequestId;

	private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();

	private RequesterEffects effects = new RequesterEffects(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

	/**
	 * Sets the addresses of the control instances.
	 * @param newAddresses the peer addresses of all control instances
	 */
	public void updateAddresses(List<String> newAddresses) {
		this.addresses = List.copyOf(newAddresses);
	}

	/**
	 * Sets the address of the control instance that this requester belongs to. It is
	 * asked for the leader, which it knows without a connection.
	 * @param address the peer address of the instance
	 */
	public void setOwnAddress(String address) {
		this.ownAddress = address;
	}

	/**
	 * Sends a request to the leader.
	 * @param request the request; its id is overwritten
	 * @param deadlineMillis the monotonic time after which the request is dropped, in
	 * milliseconds
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the id under which the effects return the result
	 */
	public long submit(ControlRequest request, long deadlineMillis, long nowMillis) {
		this.lastRequestId++;
		PendingRequest pendingRequest = new PendingRequest(request.toBuilder().setId(this.lastRequestId).build(),
				deadlineMillis);
		this.pendingRequests.put(this.lastRequestId, pendingRequest);
		if (!this.ownAddress.isEmpty() && nowMillis - this.lastLeaderResponseMillis > LEADER_TRUST_MILLIS) {
			this.leaderAddress = this.ownAddress;
		}
		send(pendingRequest, nowMillis);
		return this.lastRequestId;
	}

	/**
	 * Sends a request to the given control instance, whether or not it is the leader.
	 * @param address the peer address of the instance
	 * @param request the request; its id is overwritten
	 * @param deadlineMillis the monotonic time after which the request is dropped, in
	 * milliseconds
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the id under which the effects return the result
	 */
	public long submitTo(String address, ControlRequest request, long deadlineMillis, long nowMillis) {
		this.lastRequestId++;
		PendingRequest pendingRequest = new PendingRequest(request.toBuilder().setId(this.lastRequestId).build(),
				deadlineMillis);
		pendingRequest.fixedTargetAddress = address;
		this.pendingRequests.put(this.lastRequestId, pendingRequest);
		send(pendingRequest, nowMillis);
		return this.lastRequestId;
	}

	private void send(PendingRequest request, long nowMillis) {
		request.nextSendMillis = nowMillis + RESEND_INTERVAL_MILLIS;
		String defaultAddress = this.leaderAddress.isEmpty() ? nextAddress() : this.leaderAddress;
		String targetAddress = request.fixedTargetAddress.isEmpty() ? defaultAddress : request.fixedTargetAddress;
		if (!targetAddress.isEmpty()) {
			request.targetAddress = targetAddress;
			this.effects.requests().add(new OutgoingRequest(targetAddress, request.request));
		}
	}

	private String nextAddress() {
		if (this.addresses.isEmpty()) {
			return "";
		}
		this.addressIndex = (this.addressIndex + 1) % this.addresses.size();
		return this.addresses.get(this.addressIndex);
	}

	/**
	 * Processes a response. A response to an unknown or completed request is ignored.
	 * @param response the response
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void receive(ControlResponse response, long nowMillis) {
		PendingRequest pendingRequest = this.pendingRequests.get(response.getId());
		if (pendingRequest == null) {
			return;
		}
		if (response.hasNotLeader()) {
			this.leaderAddress = response.getNotLeader().getLeaderAddress();
			pendingRequest.targetAddress = "";
			pendingRequest.redirects++;
			boolean firstRedirect = pendingRequest.redirects == 1 && !this.leaderAddress.isEmpty();
			pendingRequest.nextSendMillis = nowMillis + (firstRedirect ? 0 : nextRedirectDelayMillis());
			if (firstRedirect) {
				send(pendingRequest, nowMillis);
			}
			return;
		}
		this.redirectDelay.reset();
		this.pendingRequests.remove(response.getId());
		if (pendingRequest.fixedTargetAddress.isEmpty()) {
			this.lastLeaderResponseMillis = nowMillis;
			this.leaderAddress = pendingRequest.targetAddress;
		}
		this.effects.responses().add(response);
	}

	private long nextRedirectDelayMillis() {
		if (!this.leaderAddress.isEmpty()) {
			this.redirectDelay.reset();
			return REDIRECT_DELAY_MILLIS;
		}
		return this.redirectDelay.nextMillis();
	}

	/**
	 * Resends requests that are due and drops those whose deadline has passed.
	 * @param nowMillis the monotonic time, in milliseconds
	 */
	public void tick(long nowMillis) {
		Iterator<PendingRequest> iterator = this.pendingRequests.values().iterator();
		List<PendingRequest> dueRequests = new ArrayList<>();
		while (iterator.hasNext()) {
			PendingRequest request = iterator.next();
			if (nowMillis >= request.deadlineMillis) {
				iterator.remove();
				this.effects.timedOutIds().add(request.request.getId());
			}
			else if (nowMillis >= request.nextSendMillis) {
				dueRequests.add(request);
			}
		}
		for (PendingRequest request : dueRequests) {
			if (request.fixedTargetAddress.isEmpty() && !request.targetAddress.isEmpty()
					&& request.targetAddress.equals(this.leaderAddress)) {
				// The instance did not respond or is no longer the
				// leader: try the others in turn.
				this.leaderAddress = "";
			}
			send(request, nowMillis);
		}
	}

	/**
	 * Returns and clears the pending effects.
	 * @return the effects
	 */
	public RequesterEffects drain() {
		RequesterEffects drainedEffects = this.effects;
		this.effects = new RequesterEffects(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
		return drainedEffects;
	}

	/**
	 * Actions that the requester requires.
	 *
	 * @param requests requests to send
	 * @param responses received responses to submitted requests
	 * @param timedOutIds ids of requests whose deadline passed without a response
	 */
	public record RequesterEffects(List<OutgoingRequest> requests, List<ControlResponse> responses,
			List<Long> timedOutIds) {
	}

	/**
	 * A request to send.
	 *
	 * @param address the peer address of a control instance
	 * @param request the request
	 */
	public record OutgoingRequest(String address, ControlRequest request) {
	}

	private static final class PendingRequest {

		private final ControlRequest request;

		private final long deadlineMillis;

		private long nextSendMillis;

		private String targetAddress = "";

		private String fixedTargetAddress = "";

		private int redirects;

		private PendingRequest(ControlRequest request, long deadlineMillis) {
			this.request = request;
			this.deadlineMillis = deadlineMillis;
		}

	}

}
