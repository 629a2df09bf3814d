package org.radishthread.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.radishthread.agreement.ControlRequester;
import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.kernel.Backoff;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.ReadRules;
import org.radishthread.protocol.RulePart;

/**
 * Sends requests to the control group on behalf of this instance. While its rules are not
 * confirmed, such as after its start or a suspension of its process, this service also
 * reads the current rules from the control group. It is safe for use by several threads;
 * the futures that it returns complete on the thread of this service.
 */
public final class ControlClient implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "control-client";

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final long CONFIRMATION_TIMEOUT_MILLIS = 2_000;

	private static final long MINIMUM_CONFIRMATION_INTERVAL_MILLIS = 100;

	private static final long MAXIMUM_CONFIRMATION_INTERVAL_MILLIS = 1_600;

	// The rules of a confirmed revision are received from a peer nearby. If that
	// fails, the leader of the control group sends them.
	private static final int MAXIMUM_REVISION_RESPONSES = 4;

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final TimeSource time;

	private final ControlRequester requester = new ControlRequester();

	private final Map<Long, CompletableFuture<ControlResponse>> pendingResponses = new HashMap<>();

	private final EventLoop eventLoop = new EventLoop("control-client");

	// This and the following fields are accessed on the thread of the loop only.
	private boolean confirmationPending;

	// The number of responses with the revision alone since the rules were last confirmed
	// or read whole.
	private int revisionResponses;

	private long nextConfirmationMillis = Long.MIN_VALUE;

	private final Backoff confirmationInterval = new Backoff(MINIMUM_CONFIRMATION_INTERVAL_MILLIS,
			MAXIMUM_CONFIRMATION_INTERVAL_MILLIS);

	public ControlClient(PeerTransport transport, ClusterService cluster, TimeSource time) {
		this.transport = transport;
		this.cluster = cluster;
		this.time = time;
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.CONTROL_RESPONSE, (name, address, envelope) -> this.eventLoop
			.execute(() -> process(() -> this.requester.receive(envelope.getControlResponse(), nowMillis()))));
		if (this.cluster.replica().getId() != 0) {
			this.requester.setOwnAddress(this.cluster.replica().getAddress());
		}
		this.eventLoop.execute(this::tick);
		this.eventLoop.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, this::tick);
	}

	private long nowMillis() {
		return this.time.monotonicMillis();
	}

	private void tick() {
		this.requester.updateAddresses(this.cluster.controlInstanceAddresses());
		confirmRulesIfNeeded();
		process(() -> this.requester.tick(nowMillis()));
	}

	private void confirmRulesIfNeeded() {
		if (!this.cluster.needsRuleConfirmation()) {
			this.confirmationInterval.reset();
			this.revisionResponses = 0;
			return;
		}
		if (this.confirmationPending || nowMillis() < this.nextConfirmationMillis) {
			return;
		}
		this.confirmationPending = true;
		this.nextConfirmationMillis = nowMillis() + this.confirmationInterval.nextMillis();
		RulePart part = nextRulePart();
		ControlRequest.Builder request = ControlRequest.newBuilder().setReadRules(ReadRules.newBuilder().setPart(part));
		sendToLeader(request, CONFIRMATION_TIMEOUT_MILLIS).whenComplete((response, failure) -> {
			this.confirmationPending = false;
			if (response != null && response.hasRuleFile()) {
				this.cluster.offerEvacuations(response.getEvacuations());
				this.revisionResponses = (part == RulePart.RULE_PART_REVISION) ? this.revisionResponses + 1 : 0;
				this.cluster.confirmRules(response.getRuleFile());
			}
		});
	}

	// An instance without rules can't serve before it has them, so that it does not wait
	// for a peer.
	private RulePart nextRulePart() {
		if (this.revisionResponses >= MAXIMUM_REVISION_RESPONSES) {
			return RulePart.RULE_PART_WHOLE;
		}
		return this.cluster.view().hasRules() ? RulePart.RULE_PART_REVISION : RulePart.RULE_PART_CONTENT;
	}

	/**
	 * Sends a request to the leader of the control group. It is sent again until a
	 * response arrives or the timeout expires.
	 * @param request the request, which must be idempotent
	 * @param timeoutMillis how long to wait for the response, in milliseconds
	 * @return a future with the response, or with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<ControlResponse> sendToLeader(ControlRequest.Builder request, long timeoutMillis) {
		CompletableFuture<ControlResponse> future = new CompletableFuture<>();
		this.eventLoop.execute(() -> process(() -> {
			long nowMillis = nowMillis();
			this.pendingResponses.put(this.requester.submit(request.build(), nowMillis + timeoutMillis, nowMillis),
					future);
		}));
		return future;
	}

	/**
	 * Sends a request to one control instance, whether or not it is the leader. It is
	 * sent again until a response arrives or the timeout expires.
	 * @param address the peer address of the instance
	 * @param request the request, which must be idempotent
	 * @param timeoutMillis how long to wait for the response, in milliseconds
	 * @return a future with the response, or with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<ControlResponse> sendTo(String address, ControlRequest.Builder request,
			long timeoutMillis) {
		CompletableFuture<ControlResponse> future = new CompletableFuture<>();
		this.eventLoop.execute(() -> process(() -> {
			long nowMillis = nowMillis();
			this.pendingResponses
				.put(this.requester.submitTo(address, request.build(), nowMillis + timeoutMillis, nowMillis), future);
		}));
		return future;
	}

	private void process(Runnable event) {
		event.run();
		ControlRequester.RequesterEffects effects = this.requester.drain();
		effects.requests()
			.forEach((outgoingRequest) -> this.transport.send(outgoingRequest.address(),
					Envelope.newBuilder().setControlRequest(outgoingRequest.request()).build()));
		effects.responses().forEach((response) -> complete(response.getId(), response));
		effects.timedOutIds().forEach(this::expire);
	}

	private void complete(long id, ControlResponse response) {
		CompletableFuture<ControlResponse> future = this.pendingResponses.remove(id);
		if (future != null) {
			future.complete(response);
		}
	}

	private void expire(long id) {
		CompletableFuture<ControlResponse> future = this.pendingResponses.remove(id);
		if (future != null) {
			future.completeExceptionally(new ControlTimeoutException());
		}
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
