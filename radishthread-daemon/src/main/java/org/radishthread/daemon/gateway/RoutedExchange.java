package org.radishthread.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.ClaimService.Claim;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.RecordedAnswer;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.RetryAfter;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.Urgency;
import org.radishthread.rules.KeyDecision;
import org.radishthread.rules.KeyOutcome;
import org.radishthread.rules.RouteLimits;
import org.radishthread.rules.RouteRule;
import org.radishthread.rules.WorkspaceRule;

/**
 * Exchange that claims a once-only request, asks a {@link RequestRouter} for upstreams
 * and sends the attempts that the router decides on. {@link AttemptFailure} decides
 * whether a failed attempt may be followed by another.
 */
final class RoutedExchange extends AbstractExchange implements RoutingCallback {

	private static final EventLog eventLog = EventLog.of(RoutedExchange.class);

	private static final long HEDGE_RETRY_INTERVAL_MILLIS = 50;

	private final RequestRouter router;

	private @Nullable Claim claim;

	// The last refusal, which counts once no attempt is in progress.
	private volatile RoutingEffect.@Nullable Refusal refusal;

	// Ends when the selected response is recorded.
	private volatile CompletableFuture<Void> recording = CompletableFuture.completedFuture(null);

	RoutedExchange(GatewayContext context, RouteRule route, KeyDecision keyDecision, ArrivedRequest arrived) {
		this(context, route, keyDecision, arrived, context.router(route.service()));
	}

	RoutedExchange(GatewayContext context, RouteRule route, KeyDecision keyDecision, ArrivedRequest arrived,
			RequestRouter router) {
		super(context, route, keyDecision, arrived);
		this.router = router;
	}

	@Override
	protected void onRequestReady() {
		String key = request().getHeaders().get(RadishthreadHeader.IDEMPOTENCY_KEY);
		if (route().mode().mayRepeat() || key == null) {
			admit();
			return;
		}
		Claim newClaim = context().claims().newClaim(route().service(), key, fingerprint());
		context().claims().acquire(newClaim, remainingMillis()).whenComplete((claimAnswer, failure) -> {
			if (failure != null) {
				context().claims().release(newClaim);
				completeWithProblem(Problem.notRun(503, "The claim of this request could not be recorded in time.",
						DEFAULT_RETRY_AFTER_MILLIS));
				return;
			}
			onClaimAnswer(newClaim, claimAnswer);
		});
	}

	private void admit() {
		RoutingRequest routingRequest = routingRequest();
		RoutingEffect.Refusal quarantine = context().routing().findQuarantine(routingRequest);
		if (quarantine != null) {
			onRefusal(quarantine);
			return;
		}
		this.router.admit(routingRequest, this);
		if (isClosed()) {
			// Closed by another thread before the router knew it.
			this.router.close(requestNumber());
		}
	}

	private RoutingRequest routingRequest() {
		RouteLimits limits = route().limits();
		return new RoutingRequest(requestNumber(), caller(), route().mode().mayRepeat(), deadlineNanos(), "",
				new Urgency(priority(), startedNanos() + limits.objective().toNanos()), limits.maximumAttempts(), "",
				digest(), Objects.requireNonNullElse(workspaceName(), ""));
	}

	// Without workspaces the priorities of routes are compared as they are.
	private int priority() {
		int routePriority = route().limits().priority();
		return context().routing().requiresKeys() ? WorkspaceRule.rank(workspace(), routePriority) : routePriority;
	}

	private byte[] fingerprint() {
		byte[] content = body();
		String bodyText = (content != null) ? ByteString.copyFrom(content).toString(StandardCharsets.ISO_8859_1) : "";
		String workspaceLine = (workspaceName() != null) ? workspaceName() + '\n' : "";
		return Sha256.of(request().getMethod() + '\n' + request().getHttpURI().getPathQuery() + '\n'
				+ request().getHeaders().get(HttpHeader.AUTHORIZATION) + '\n' + workspaceLine + bodyText);
	}

	private void onClaimAnswer(Claim newClaim, ClaimAnswer claimAnswer) {
		eventLog.information("claim")
			.with("request", loggedRequestId())
			.with("service", route().service())
			.with("verdict", claimAnswer.getVerdict())
			.with("owner", claimAnswer.getOwner())
			.write();
		switch (claimAnswer.getVerdict()) {
			case GRANTED -> onClaimGranted(newClaim);
			case COMPLETED -> replay(claimAnswer.getAnswer());
			case HELD -> completeWithProblem(
					Problem.unknown(409, "The request with this key is under way, or it is unknown whether it ran.",
							DEFAULT_RETRY_AFTER_MILLIS));
			case MISMATCH -> completeWithProblem(Problem.notRun(422, "This key was used for another request.", 0));
			default ->
				completeWithProblem(Problem.notRun(503, "Too many claims are held.", DEFAULT_RETRY_AFTER_MILLIS));
		}
	}

	private void onClaimGranted(Claim newClaim) {
		// Set first, for a request that is completed meanwhile.
		this.claim = newClaim;
		if (isCompleted()) {
			context().claims().release(newClaim);
			return;
		}
		if (remainingMillis() <= 0) {
			completeIfIdle("The deadline passed before the request was sent.", DEFAULT_RETRY_AFTER_MILLIS, 503);
			return;
		}
		admit();
	}

	private void replay(RecordedAnswer recordedResponse) {
		KeyOutcome keyOutcome = checkKey(CallerKeys.Stage.REPLAY).outcome();
		if (keyOutcome.isRefusal()) {
			// Not 503, which states that the request did not run.
			int status = keyOutcome.isTemporary() ? HttpStatus.CONFLICT_409 : keyOutcome.httpStatus();
			completeWithProblem(
					new Problem(status, keyOutcome.title(), RequestOutcome.RUN, retryAfterMillis(keyOutcome)));
			return;
		}
		if (!recordedResponse.getBodyKept()) {
			completeWithProblem(
					new Problem(409, "The request already ran; its answer was not kept.", RequestOutcome.RUN, 0));
			return;
		}
		completeWithResponse((response, callback) -> {
			response.setStatus(recordedResponse.getStatus());
			response.getHeaders().put(RadishthreadHeader.REPLAYED, "true");
			if (!recordedResponse.getContentType().isEmpty()) {
				response.getHeaders().put(HttpHeader.CONTENT_TYPE, recordedResponse.getContentType());
			}
			response.write(true, recordedResponse.getBody().asReadOnlyByteBuffer(), callback);
		});
	}

	private KeyDecision checkKey(CallerKeys.Stage stage) {
		return context().keys().check(route(), request().getHeaders(), loggedRequestId(), stage);
	}

	private void completeRefused(KeyOutcome outcome) {
		completeIfIdle(outcome.title(), retryAfterMillis(outcome), outcome.httpStatus());
	}

	private long retryAfterMillis(KeyOutcome outcome) {
		return outcome.isTemporary()
				? RetryAfter.delayMillis(CallerKeys.RETRY_AFTER_MILLIS, remainingMillis(), requestNumber()) : 0;
	}

	@Override
	public void onDispatch(RoutingEffect.Dispatch dispatch) {
		KeyDecision keyDecision = checkKey(CallerKeys.Stage.DISPATCH);
		if (keyDecision.outcome().isRefusal()) {
			this.router.completeAttempt(requestNumber(), dispatch.upstream().name(),
					AttemptCompletion.CANCELLED.result(), null);
			// Another attempt, or its response that is about to be forwarded, goes on.
			if (dispatch.kind() != AttemptKind.HEDGE) {
				completeRefused(keyDecision.outcome());
			}
			return;
		}
		LoadReport constraint = context().routing().findConstraint(route().service(), dispatch);
		if (constraint != null) {
			this.router.completeAttempt(requestNumber(), dispatch.upstream().name(), AttemptResult.RETURNED,
					constraint);
			if (dispatch.kind() != AttemptKind.HEDGE) {
				this.router.retry(requestNumber());
			}
			return;
		}
		// A kept connection to an upstream refers to the head of its last request.
		boolean useNewConnection = !route().mode().mayRepeat() || dispatch.kind() != AttemptKind.FIRST
				|| hasLargeHead();
		NetworkAddress address = NetworkAddress.parse(dispatch.upstream().address());
		if (!sendAttempt(dispatch.upstream().name(), address, dispatch.kind().wireName(), useNewConnection, keyDecision,
				dispatch.relay())) {
			this.router.completeAttempt(requestNumber(), dispatch.upstream().name(),
					AttemptCompletion.CANCELLED.result(), null);
			return;
		}
		if (dispatch.hedgeAfterNanos() > 0) {
			schedule(Math.max(1, TimeUnit.NANOSECONDS.toMillis(dispatch.hedgeAfterNanos())), this::hedge);
		}
	}

	// Asks again at intervals, because a hedge that was refused for lack of a slot or of
	// budget may be granted later, and one that was granted may fail to connect.
	private void hedge() {
		if (isCompleted()) {
			return;
		}
		if (activeAttemptCount() == 1) {
			this.router.hedge(requestNumber());
		}
		schedule(HEDGE_RETRY_INTERVAL_MILLIS, this::hedge);
	}

	@Override
	public boolean maySend(Attempt attempt) {
		return !checkKey(CallerKeys.Stage.SEND).outcome().isRefusal();
	}

	@Override
	public void onRefusal(RoutingEffect.Refusal newRefusal) {
		// Set first, for an attempt that ends meanwhile.
		this.refusal = newRefusal;
		if (!completeRefused(newRefusal)) {
			eventLog.information("refusal-deferred")
				.with("request", loggedRequestId())
				.with("reason", newRefusal.reason().wireName())
				.write();
		}
	}

	// Returns false if an attempt is in progress, which may still bring a response.
	private boolean completeRefused(RoutingEffect.Refusal currentRefusal) {
		String prefix = mayHaveRun() ? "Not sent again: " : "Not sent: ";
		return completeIfIdle(prefix + currentRefusal.reason().wireName() + allotmentText(currentRefusal) + ".",
				currentRefusal.retryAfterMillis(), currentRefusal.reason().httpStatus());
	}

	private String allotmentText(RoutingEffect.Refusal refusal) {
		WorkspaceRule workspace = workspace();
		return (workspace != null && refusal.reason() == RefusalReason.ALLOTMENT) ? " of workspace '" + workspace.name()
				+ "' (" + workspace.requestsPerSecond() + " requests per second) is used up" : "";
	}

	@Override
	public void onNotRun(Attempt attempt, org.eclipse.jetty.client.Response response, byte[] content) {
		onFailure(attempt, AttemptFailure.REPORTED_NOT_RUN,
				new GatewayException("The upstream did not run the request."));
	}

	@Override
	protected void onAttemptCompleted(Attempt attempt, AttemptCompletion completion) {
		LoadReport report = attempt.loadReport();
		context().routing().recordReport(attempt.upstreamName(), report, completion.result());
		this.router.completeAttempt(requestNumber(), attempt.upstreamName(), completion.result(), report);
	}

	@Override
	protected void onAttemptFailed(Attempt attempt, AttemptFailure failure) {
		if (attempt.isWithheld()) {
			KeyDecision keyDecision = checkKey(CallerKeys.Stage.SEND);
			if (keyDecision.outcome().isRefusal()) {
				completeRefused(keyDecision.outcome());
				return;
			}
		}
		boolean bodyAvailable = !isBodyStreamed() || failure == AttemptFailure.NOT_SENT;
		RoutingEffect.Refusal earlierRefusal = this.refusal;
		if (!failure.allowsRetry(route().mode(), bodyAvailable)) {
			completeIfIdle("The upstream gave no whole answer.", DEFAULT_RETRY_AFTER_MILLIS, 502);
		}
		else if (earlierRefusal != null) {
			completeRefused(earlierRefusal);
		}
		else {
			this.router.retry(requestNumber());
		}
	}

	@Override
	protected boolean isRetriedAfterServerError() {
		return route().mode().mayRepeat();
	}

	@Override
	protected void onResponseSelected(org.eclipse.jetty.client.Response response, byte @Nullable [] content) {
		context().recordLatency(route().service(), elapsedNanos());
		Claim currentClaim = this.claim;
		if (currentClaim == null) {
			return;
		}
		RecordedAnswer.Builder recordedResponse = RecordedAnswer.newBuilder().setStatus(response.getStatus());
		String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
		if (type != null) {
			recordedResponse.setContentType(type);
		}
		if (content != null) {
			recordedResponse.setBody(ByteString.copyFrom(content)).setBodyKept(true);
		}
		this.recording = context().claims().complete(currentClaim, recordedResponse.build(), remainingMillis());
	}

	@Override
	protected void runOnceRecorded(Runnable task) {
		this.recording.thenRun(task);
	}

	@Override
	protected void releaseClaimThen(Runnable task) {
		Claim currentClaim = this.claim;
		if (currentClaim == null) {
			task.run();
			return;
		}
		// Released before the response is sent, so that an immediate retry with the same
		// key is not refused.
		context().claims()
			.release(currentClaim)
			.orTimeout(DEFAULT_RETRY_AFTER_MILLIS, TimeUnit.MILLISECONDS)
			.whenComplete((response, failure) -> task.run());
	}

	@Override
	protected void onClosed() {
		this.router.close(requestNumber());
	}

}
