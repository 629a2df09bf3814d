package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.ClaimRegistry.Claim;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.RecordedAnswer;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.Urgency;
import org.radishthread.rules.RouteLimits;
import org.radishthread.rules.RouteRule;

/**
 * Routes a request to upstreams from this instance: claim, queue, attempts. The decisions
 * are made by the router, by {@link AttemptFailure} and by the control group.
 */
final class RoutedExchange extends AbstractExchange implements RoutingCallback {

	private static final EventLog eventLog = EventLog.of(RoutedExchange.class);

	private static final long HEDGE_AGAIN_MILLIS = 100;

	private final RequestRouter router;

	private @Nullable Claim claim;

	RoutedExchange(GatewayContext context, RouteRule route, Request request, Response response, Callback callback) {
		super(context, route, request, response, callback);
		this.router = context.router(route.service());
	}

	@Override
	protected void begin() {
		String key = request().getHeaders().get(RadishthreadHeader.IDEMPOTENCY_KEY);
		if (route().mode().mayRepeat() || key == null) {
			admit();
			return;
		}
		Claim taken = context().claims().newClaim(route().service(), key, fingerprint());
		context().claims().take(taken, remainingMillis()).whenComplete((answer, failure) -> {
			if (failure != null) {
				context().claims().release(taken);
				finish(Problem.notRun(503, "The claim of this request could not be recorded in time.",
						RETRY_AFTER_MILLIS));
				return;
			}
			claimed(taken, answer);
		});
	}

	private void admit() {
		this.router.admit(ticket(), this);
	}

	private RoutingRequest ticket() {
		RouteLimits limits = route().limits();
		return new RoutingRequest(id(), caller(), route().mode().mayRepeat(), deadlineNanos(), "",
				new Urgency(limits.priority(), startedNanos() + limits.objective().toNanos()),
				limits.maximumAttempts());
	}

	private byte[] fingerprint() {
		byte[] content = body();
		String digest = (content != null) ? ByteString.copyFrom(content).toString(StandardCharsets.ISO_8859_1) : "";
		return Sha256.of(request().getMethod() + '\n' + request().getHttpURI().getPathQuery() + '\n'
				+ request().getHeaders().get(HttpHeader.AUTHORIZATION) + '\n' + digest);
	}

	private void claimed(Claim taken, ClaimAnswer answer) {
		eventLog.information("claim")
			.with("request", logName())
			.with("service", route().service())
			.with("verdict", answer.getVerdict())
			.with("owner", answer.getOwner())
			.write();
		switch (answer.getVerdict()) {
			case GRANTED -> granted(taken);
			case COMPLETED -> replay(answer.getAnswer());
			case HELD -> finish(Problem.unknown(409,
					"The request with this key is under way, or it is unknown whether it ran.", RETRY_AFTER_MILLIS));
			case MISMATCH -> finish(Problem.notRun(422, "This key was used for another request.", 0));
			default -> finish(Problem.notRun(503, "Too many claims are held.", RETRY_AFTER_MILLIS));
		}
	}

	private void granted(Claim taken) {
		if (isFinished() || remainingMillis() <= 0) {
			context().claims().release(taken);
			finish(Problem.notRun(503, "The deadline passed before the request was sent.", RETRY_AFTER_MILLIS));
			return;
		}
		this.claim = taken;
		admit();
	}

	private void replay(RecordedAnswer answer) {
		if (!answer.getBodyKept()) {
			finish(new Problem(409, "The request already ran; its answer was not kept.", RequestOutcome.RUN, 0));
			return;
		}
		finishWith((response, callback) -> {
			response.setStatus(answer.getStatus());
			response.getHeaders().put(RadishthreadHeader.REPLAYED, "true");
			if (!answer.getContentType().isEmpty()) {
				response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.getContentType());
			}
			response.write(true, answer.getBody().asReadOnlyByteBuffer(), callback);
		});
	}

	@Override
	public void dispatch(RoutingEffect.Dispatch dispatch) {
		boolean onNewConnection = !route().mode().mayRepeat() || dispatch.kind() != AttemptKind.FIRST;
		NetworkAddress address = NetworkAddress.parse(dispatch.upstream().address());
		if (!send(dispatch.upstream().name(), address, dispatch.kind().wireName(), onNewConnection)) {
			this.router.attemptEnded(id(), dispatch.upstream().name(), AttemptEnd.CANCELLED.result(), null);
			return;
		}
		if (dispatch.hedgeAfterNanos() > 0) {
			schedule(Math.max(1, TimeUnit.NANOSECONDS.toMillis(dispatch.hedgeAfterNanos())), this::hedge);
		}
	}

	// A second attempt that was not granted, for want of a slot or of budget, may be
	// later.
	private void hedge() {
		if (isFinished() || attemptsUnderWay() != 1) {
			return;
		}
		this.router.hedge(id());
		schedule(HEDGE_AGAIN_MILLIS, this::hedge);
	}

	@Override
	public void refuse(RoutingEffect.Refusal refusal) {
		giveUp("Not sent: " + refusal.reason().wireName() + ".", refusal.retryAfterMillis(),
				refusal.reason().httpStatus());
	}

	@Override
	public void refused(Attempt attempt, org.eclipse.jetty.client.Response answer, byte[] content) {
		failed(attempt, AttemptFailure.REPORTED_NOT_RUN, new GatewayException("The upstream did not run the request."));
	}

	@Override
	protected void attemptEnded(Attempt attempt, AttemptEnd end) {
		this.router.attemptEnded(id(), attempt.targetName(), end.result(), attempt.reportedLoad());
	}

	@Override
	protected void attemptFailed(Attempt attempt, AttemptFailure outcome) {
		boolean bodyAvailable = !isStreamed() || outcome == AttemptFailure.NOT_SENT;
		if (outcome.allowsRetry(route().mode(), bodyAvailable)) {
			this.router.retry(id());
		}
		else {
			giveUp("The upstream gave no whole answer.", RETRY_AFTER_MILLIS, 502);
		}
	}

	@Override
	protected boolean triesAgainAfterServerError() {
		return route().mode().mayRepeat();
	}

	@Override
	protected void answerTaken(org.eclipse.jetty.client.Response answer, byte @Nullable [] content) {
		context().recordLatency(route().service(), elapsedNanos());
		Claim held = this.claim;
		if (held == null) {
			return;
		}
		RecordedAnswer.Builder recorded = RecordedAnswer.newBuilder().setStatus(answer.getStatus());
		String type = answer.getHeaders().get(HttpHeader.CONTENT_TYPE);
		if (type != null) {
			recorded.setContentType(type);
		}
		if (content != null) {
			recorded.setBody(ByteString.copyFrom(content)).setBodyKept(true);
		}
		context().claims().complete(held, recorded.build());
	}

	@Override
	protected void releaseThen(Runnable then) {
		Claim held = this.claim;
		if (held == null) {
			then.run();
			return;
		}
		// The key is free again when the caller learns that it may use it again.
		context().claims()
			.release(held)
			.orTimeout(RETRY_AFTER_MILLIS, TimeUnit.MILLISECONDS)
			.whenComplete((done, failure) -> then.run());
	}

	@Override
	protected void closed() {
		this.router.close(id());
	}

}
