package org.radishthread.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.radishthread.agreement.ControlRequester;
import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.ReadRules;

/**
 * Asks the control group on behalf of this instance, and confirms the rules in force when
 * this instance starts or wakes from a freeze.
 */
public final class ControlClient implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "control-client";

	private static final long TICK_MILLIS = 100;

	private static final long CONFIRMATION_MILLIS = 2_000;

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final TimeSource time;

	private final ControlRequester requester = new ControlRequester();

	private final Map<Long, CompletableFuture<ControlResponse>> futures = new HashMap<>();

	private final EventLoop loop = new EventLoop("control-client");

	private boolean confirming;

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
		this.transport.registerHandler(Envelope.BodyCase.CONTROL_RESPONSE, (name, address, envelope) -> this.loop
			.execute(() -> step(() -> this.requester.receive(envelope.getControlResponse(), now()))));
		this.loop.execute(this::tick);
		this.loop.scheduleWithFixedDelay(TICK_MILLIS, this::tick);
	}

	private long now() {
		return this.time.monotonicMillis();
	}

	private void tick() {
		this.requester.updateAddresses(this.cluster.controlInstanceAddresses());
		confirmRulesIfNeeded();
		step(() -> this.requester.tick(now()));
	}

	private void confirmRulesIfNeeded() {
		if (this.confirming || !this.cluster.needsRuleConfirmation()) {
			return;
		}
		this.confirming = true;
		ControlRequest.Builder request = ControlRequest.newBuilder().setReadRules(ReadRules.getDefaultInstance());
		sendToLeader(request, CONFIRMATION_MILLIS).whenComplete((response, failure) -> {
			this.confirming = false;
			if (response != null && response.hasRuleFile()) {
				this.cluster.confirmRules(response.getRuleFile());
			}
		});
	}

	/**
	 * Sends a request that is safe to repeat to the leader of the control group.
	 * @param request the request
	 * @param timeoutMillis how long to wait, in milliseconds
	 * @return the answer, or a failure with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<ControlResponse> sendToLeader(ControlRequest.Builder request, long timeoutMillis) {
		CompletableFuture<ControlResponse> future = new CompletableFuture<>();
		this.loop.execute(() -> step(() -> {
			long now = now();
			this.futures.put(this.requester.submit(request.build(), now + timeoutMillis, now), future);
		}));
		return future;
	}

	/**
	 * Sends a request to one control instance, leader or not.
	 * @param address the peer address of the instance
	 * @param request the request
	 * @param timeoutMillis how long to wait, in milliseconds
	 * @return the answer, or a failure with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<ControlResponse> sendTo(String address, ControlRequest.Builder request,
			long timeoutMillis) {
		CompletableFuture<ControlResponse> future = new CompletableFuture<>();
		this.loop.execute(() -> step(() -> {
			long now = now();
			this.futures.put(this.requester.submitTo(address, request.build(), now + timeoutMillis, now), future);
		}));
		return future;
	}

	private void step(Runnable event) {
		event.run();
		ControlRequester.RequesterEffects effects = this.requester.drain();
		effects.requests()
			.forEach((send) -> this.transport.send(send.address(),
					Envelope.newBuilder().setControlRequest(send.request()).build()));
		effects.responses().forEach((answer) -> complete(answer.getId(), answer));
		effects.timedOutIds().forEach(this::expire);
	}

	private void complete(long id, ControlResponse response) {
		CompletableFuture<ControlResponse> future = this.futures.remove(id);
		if (future != null) {
			future.complete(response);
		}
	}

	private void expire(long id) {
		CompletableFuture<ControlResponse> future = this.futures.remove(id);
		if (future != null) {
			future.completeExceptionally(new ControlTimeoutException());
		}
	}

	@Override
	public void stop() {
		this.loop.stop();
	}

}
