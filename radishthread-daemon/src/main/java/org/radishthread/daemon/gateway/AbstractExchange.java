package org.radishthread.daemon.gateway;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.ExchangeState.AttemptEnd;
import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.http.BufferBudgetException;
import org.radishthread.daemon.http.LargeHead;
import org.radishthread.kernel.CompletionFailures;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.rules.KeyDecision;
import org.radishthread.rules.RouteRule;
import org.radishthread.rules.WorkspaceRule;

/**
 * Base class for handling one request of a caller: it sends attempts to upstreams and
 * completes the request with exactly one response, unless the caller disconnects first.
 * Subclasses choose the upstreams and decide what follows a failed attempt. Safe for use
 * by several threads.
 */
abstract class AbstractExchange implements AttemptListener {

	/**
	 * Default time after which the caller of a failed request may retry, in milliseconds.
	 */
	protected static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

	private static final long CALLER_CHECK_INTERVAL_MILLIS = 150;

	private final GatewayContext context;

	private final RouteRule route;

	private final KeyDecision keyDecision;

	private final Request request;

	private final CallerResponse response;

	private final long requestNumber;

	private final long rulesRevision;

	private final long startedNanos;

	private final OptionalLong callerTimeoutMillis;

	private final long timeoutMillis;

	// The end of the timeout, or the end of this instance if that comes first.
	private final long deadlineNanos;

	private final ExchangeState<Attempt> state;

	private final ExchangeTimers timers;

	private final BufferBudget.Reservation buffers;

	private final CallerBody body;

	private final ExchangeLog log;

	private volatile @Nullable String digest;

	private volatile @Nullable BufferedResponse bufferedServerError;

	protected AbstractExchange(GatewayContext context, RouteRule route, KeyDecision keyDecision,
			ArrivedRequest arrived) {
		this.context = context;
		this.route = route;
		this.state = new ExchangeState<>(route.mode().mayRepeat());
		this.keyDecision = keyDecision;
		this.request = arrived.request();
		this.buffers = context.buffers().newReservation();
		this.response = new CallerResponse(context.dialect(), this.request, arrived.response(),
				Callback.from(arrived.callback(), this::onResponseWritten));
		this.body = new CallerBody(this.request, route.mode(), context.settings().limits().requestBufferBytes(),
				this.buffers);
		this.requestNumber = context.nextRequestNumber();
		this.rulesRevision = context.routing().revision();
		this.startedNanos = arrived.arrivedNanos();
		this.callerTimeoutMillis = CallerTimeout.remainingMillis(context.dialect(), this.request.getHeaders());
		this.timeoutMillis = timeoutMillis();
		this.deadlineNanos = context.openExchanges()
			.limit(this.startedNanos + TimeUnit.MILLISECONDS.toNanos(this.timeoutMillis));
		this.timers = new ExchangeTimers(context.scheduler());
		this.log = new ExchangeLog(this);
	}

	/**
	 * Starts routing the request. Called once the body is buffered, or at once if the
	 * body is streamed or absent.
	 */
	protected abstract void onRequestReady();

	/**
	 * Called when an attempt completed, whatever its outcome.
	 * @param attempt the attempt
	 * @param completion the outcome of the attempt
	 */
	protected abstract void onAttemptCompleted(Attempt attempt, AttemptCompletion completion);

	/**
	 * Called when an attempt failed and no other is in progress, to retry the request or
	 * to complete it.
	 * @param attempt the attempt
	 * @param failure whether the request may have run
	 */
	protected abstract void onAttemptFailed(Attempt attempt, AttemptFailure failure);

	/**
	 * Called when the response for the caller is selected, before it is sent.
	 * @param response status and headers
	 * @param content the complete body, or {@code null} if it is streamed
	 */
	protected abstract void onResponseSelected(org.eclipse.jetty.client.Response response, byte @Nullable [] content);

	/**
	 * Called when the request is completed and no attempt is in progress.
	 */
	protected abstract void onClosed();

	/**
	 * Returns whether a complete response with a server error is buffered while another
	 * attempt is made, instead of being forwarded at once.
	 * @return whether to retry after a server error
	 */
	protected boolean isRetriedAfterServerError() {
		return false;
	}

	/**
	 * Releases the claim of a request that certainly did not run, if it has one, and then
	 * runs a task.
	 * @param task the task, which also runs if the release fails
	 */
	protected void releaseClaimThen(Runnable task) {
		task.run();
	}

	/**
	 * Runs a task once the selected response is recorded for repeated requests, if it is
	 * recorded at all.
	 * @param task the task, which also runs if the record fails or takes too long
	 */
	protected void runOnceRecorded(Runnable task) {
		task.run();
	}

	protected final GatewayContext context() {
		return this.context;
	}

	// The id that the dialect assigns to the request, or else a generated one.
	protected final String loggedRequestId() {
		String generatedId = this.context.settings().instance() + '-' + this.requestNumber;
		String requestId = this.context.dialect().requestId(this.request.getHeaders(), generatedId);
		return (requestId != null) ? requestId : generatedId;
	}

	protected final RouteRule route() {
		return this.route;
	}

	// The workspace of the caller as of the arrival of the request, or null for none.
	protected final @Nullable WorkspaceRule workspace() {
		return this.keyDecision.workspace();
	}

	protected final @Nullable String workspaceName() {
		WorkspaceRule workspace = workspace();
		return (workspace != null) ? workspace.name() : null;
	}

	protected final Request request() {
		return this.request;
	}

	protected final long requestNumber() {
		return this.requestNumber;
	}

	protected final byte @Nullable [] body() {
		return this.body.bytes();
	}

	protected final long rulesRevision() {
		return this.rulesRevision;
	}

	protected final long deadlineNanos() {
		return this.deadlineNanos;
	}

	protected final long startedNanos() {
		return this.startedNanos;
	}

	protected final long elapsedNanos() {
		return this.context.time().monotonicNanos() - this.startedNanos;
	}

	protected final int activeAttemptCount() {
		return this.state.attemptsInProgress().size();
	}

	// The attempts that were begun, whether they have ended or not.
	final int begunAttemptCount() {
		return this.state.begunAttempts();
	}

	protected final boolean isCompleted() {
		return this.state.isCompleted();
	}

	protected final boolean isClosed() {
		return this.state.isClosed();
	}

	// Whether an attempt may have been run by an upstream, or may be.
	protected final boolean mayHaveRun() {
		return this.state.mayHaveRun();
	}

	protected final String caller() {
		String callerHeader = this.request.getHeaders().get(this.context.settings().limits().callerHeader());
		return (callerHeader != null) ? callerHeader : Request.getRemoteAddr(this.request);
	}

	/**
	 * Returns what equal requests have in common, see {@link RequestDigest}. Called once
	 * the body is buffered.
	 * @return the digest
	 */
	protected final String digest() {
		String computedDigest = this.digest;
		if (computedDigest == null) {
			computedDigest = computeDigest();
			this.digest = computedDigest;
		}
		return computedDigest;
	}

	private String computeDigest() {
		String host = this.request.getHttpURI().getHost();
		String knownHost = (host != null) ? host : "";
		String path = this.request.getHttpURI().getPathQuery();
		HttpFields headers = this.request.getHeaders();
		return isBodyStreamed()
				? RequestDigest.ofStreamed(this.request.getMethod(), knownHost, path, headers, workspaceName(),
						this.request.getLength())
				: RequestDigest.of(this.request.getMethod(), knownHost, path, headers, workspaceName(), body());
	}

	private long timeoutMillis() {
		Duration totalTimeout = this.route.limits().totalTimeout();
		long routeTimeoutMillis = ((totalTimeout != null) ? totalTimeout : this.route.timeout()).toMillis();
		return Math.min(routeTimeoutMillis, this.callerTimeoutMillis.orElse(routeTimeoutMillis));
	}

	// The timeout of an upload route limits only the time without progress.
	private boolean hasDeadline() {
		return !this.route.mode().isBodyStreamed() || this.route.limits().totalTimeout() != null
				|| this.callerTimeoutMillis.isPresent();
	}

	protected final boolean isBodyStreamed() {
		return this.body.isStreamed();
	}

	protected final long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - this.context.time().monotonicNanos());
	}

	private void onResponseWritten() {
		this.buffers.release();
		this.context.openExchanges().remove(this);
	}

	/**
	 * Ends the request at a time at which this instance stops, if it is not completed
	 * before.
	 * @param nanos the monotonic time, in nanoseconds
	 */
	final void endAt(long nanos) {
		long delayNanos = Math.max(0, nanos - this.context.time().monotonicNanos());
		schedule(TimeUnit.NANOSECONDS.toMillis(delayNanos), this::onInstanceStopping);
	}

	private void onInstanceStopping() {
		completeUnsuccessfully("This instance stops.", GatewayHandler.STOPPING_RETRY_AFTER_MILLIS,
				HttpStatus.SERVICE_UNAVAILABLE_503);
	}

	final void start() {
		this.request.addFailureListener(this::onCallerDisconnected);
		scheduleEnds();
		if (isCompleted()) {
			return;
		}
		// The instance may have held the request for some time.
		if (hasDeadline() && remainingMillis() <= 0) {
			completeUnsuccessfully("The deadline passed before the request was sent.", DEFAULT_RETRY_AFTER_MILLIS, 503);
			return;
		}
		if (!this.body.needsBuffering()) {
			onRequestReady();
			return;
		}
		this.body.buffer().whenComplete((bytes, failure) -> {
			if (failure != null) {
				completeWithProblem(bodyProblem(failure));
			}
			else if (!isCompleted()) {
				onRequestReady();
			}
		});
	}

	// The request ends at its deadline, when this instance stops, and when its caller has
	// disconnected.
	private void scheduleEnds() {
		this.context.openExchanges().add(this);
		if (isCompleted()) {
			// The response may have been written before.
			this.context.openExchanges().remove(this);
		}
		if (hasDeadline()) {
			long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(elapsedNanos());
			schedule(Math.max(0, this.timeoutMillis - elapsedMillis), this::onDeadlinePassed);
		}
		checkCallerConnection();
	}

	private Problem bodyProblem(Throwable failure) {
		if (CompletionFailures.unwrap(failure) instanceof BufferBudgetException budgetFailure) {
			return Problem.notRun(HttpStatus.SERVICE_UNAVAILABLE_503, String.valueOf(budgetFailure.getMessage()),
					DEFAULT_RETRY_AFTER_MILLIS);
		}
		return Problem.notRun(413,
				"The request body was not received whole, or exceeds "
						+ this.context.settings().limits().requestBufferBytes()
						+ " bytes; mark the route as upload for larger ones.",
				0);
	}

	// Polls, because Jetty reads nothing from the connection during a request.
	private void checkCallerConnection() {
		if (isCompleted()) {
			return;
		}
		if (this.body.isRead()
				&& this.request.getConnectionMetaData().getConnection().getEndPoint() instanceof CallerEndPoint endPoint
				&& endPoint.isClosedByCaller()) {
			onCallerDisconnected(new EofException("The caller closed the connection."));
			return;
		}
		schedule(CALLER_CHECK_INTERVAL_MILLIS, this::checkCallerConnection);
	}

	/**
	 * Sends the request to an upstream.
	 * @param upstream the name of the upstream
	 * @param address the address of the upstream
	 * @param kind the wire name of the {@link org.radishthread.routing.AttemptKind}
	 * @param useNewConnection whether to open a connection for the attempt
	 * @param currentKeyDecision the check of the caller's key right before this call
	 * @param relay the peer address of the instance that relays the attempt, or
	 * {@code null} for none
	 * @return whether it was sent; if not, the request is already completed, or must run
	 * once and another attempt may run it
	 */
	protected final boolean sendAttempt(String upstream, NetworkAddress address, String kind, boolean useNewConnection,
			KeyDecision currentKeyDecision, @Nullable String relay) {
		String pathAndQuery = receivedPathAndQuery();
		org.eclipse.jetty.client.Request attemptRequest = (relay != null)
				? this.context.clients().relayedRequest(address, useNewConnection, pathAndQuery, relay)
				: this.context.clients().request(address, useNewConnection, pathAndQuery);
		HttpDialect dialect = this.context.dialect();
		String requestId = dialect.requestId(this.request.getHeaders(),
				this.context.settings().instance() + '-' + this.requestNumber + '-' + kind);
		WorkspaceRule currentWorkspace = currentKeyDecision.workspace();
		String workspaceName = (currentWorkspace != null) ? currentWorkspace.name() : null;
		prepareRequest(attemptRequest, currentKeyDecision,
				new HttpDialect.AttemptDetails(requestId, remainingMillis(), upstream, workspaceName));
		int maximumBufferedBytes = this.context.settings().limits().responseBufferBytes();
		Attempt attempt = new Attempt(upstream, address, attemptRequest, dialect, requestId, maximumBufferedBytes,
				useNewConnection, this);
		if (!this.state.tryBegin(attempt)) {
			return false;
		}
		this.log.attempt(upstream, kind, relay);
		attempt.send();
		return true;
	}

	protected final boolean hasLargeHead() {
		return LargeHead.isLarge(receivedPathAndQuery(), this.request.getHeaders());
	}

	// A fragment has no place in a request, but what is sent is what was received.
	private String receivedPathAndQuery() {
		HttpURI uri = this.request.getHttpURI();
		return (uri.getFragment() != null) ? uri.getPathQuery() + '#' + uri.getFragment() : uri.getPathQuery();
	}

	private void prepareRequest(org.eclipse.jetty.client.Request attemptRequest, KeyDecision currentKeyDecision,
			HttpDialect.AttemptDetails details) {
		boolean includeWorkspaceHeaders = !this.keyDecision.outcome().replacesCallerHeaders()
				&& !currentKeyDecision.outcome().replacesCallerHeaders();
		attemptRequest.method(this.request.getMethod());
		attemptRequest.headers((headers) -> {
			EndToEndHeaders.copyRequestHeaders(this.context.dialect(), includeWorkspaceHeaders,
					this.request.getHeaders(), headers);
			this.context.dialect().addAttemptHeaders(headers, details);
		});
		if (isBodyStreamed()) {
			attemptRequest.idleTimeout(this.route.timeout().toMillis(), TimeUnit.MILLISECONDS);
		}
		attemptRequest.body(this.body.toContent());
	}

	@Override
	public final void onCompleteResponse(Attempt attempt, org.eclipse.jetty.client.Response upstreamResponse,
			byte[] content) {
		AttemptCompletion completion = AttemptCompletion.ofStatus(upstreamResponse.getStatus());
		if (completion == AttemptCompletion.SERVER_ERROR_RESPONSE && isRetriedAfterServerError()) {
			this.bufferedServerError = new BufferedResponse(attempt, upstreamResponse, content);
			AttemptEnd end = this.state.endWithFailure(attempt, true);
			reportCompletion(attempt, completion);
			if (end == AttemptEnd.DECISIVE) {
				onAttemptFailed(attempt, AttemptFailure.NO_COMPLETE_RESPONSE);
			}
			return;
		}
		boolean selected = this.state.endWithResponse(attempt);
		reportCompletion(attempt, completion);
		if (selected) {
			forward(attempt, upstreamResponse, content);
		}
	}

	private void forward(Attempt attempt, org.eclipse.jetty.client.Response upstreamResponse, byte[] content) {
		onCompleted();
		this.log.responseForwarded(attempt, upstreamResponse.getStatus(), "whole");
		onResponseSelected(upstreamResponse, content);
		abortOtherAttempts(attempt);
		this.response.copyHead(upstreamResponse);
		runOnceRecorded(() -> this.response.writeWhole(content));
	}

	@Override
	public final boolean tryStartStreaming(Attempt attempt, org.eclipse.jetty.client.Response upstreamResponse) {
		// At once, so that no other response is written meanwhile.
		synchronized (this.state) {
			if (!this.state.trySelect(attempt)) {
				return false;
			}
			this.response.beginStreaming(upstreamResponse);
		}
		// No hedge is needed any more.
		this.timers.cancelAll();
		this.log.streamingStarted(attempt, this.response);
		abortOtherAttempts(attempt);
		onResponseSelected(upstreamResponse, null);
		// The rest of the response may never arrive.
		scheduleEnds();
		return true;
	}

	@Override
	public final boolean tryReserveBuffer(int bytes) {
		return this.buffers.tryReserve(bytes);
	}

	// A relay finds that out by itself, and then resets the connection.
	@Override
	public final CompletableFuture<Boolean> isUpstreamLost(Attempt attempt) {
		return attempt.isRelayed() ? CompletableFuture.completedFuture(false)
				: UpstreamProber.refusesConnections(attempt.upstreamAddress());
	}

	@Override
	public final void onStreamedBytes(byte[] bytes, Runnable demander) {
		this.response.writePart(bytes, Callback.from(demander, this::onCallerDisconnected));
	}

	@Override
	public final void onStreamCompleted(Attempt attempt, boolean complete) {
		boolean selected = this.state.endWithResponse(attempt);
		reportCompletion(attempt, complete ? AttemptCompletion.COMPLETE_RESPONSE
				: AttemptCompletion.of(AttemptFailure.NO_COMPLETE_RESPONSE, attempt.isConnectionLost()));
		if (!selected) {
			return;
		}
		onCompleted();
		this.log.responseForwarded(attempt, this.response.status(), complete ? "streamed" : "broken");
		if (complete) {
			runOnceRecorded(this.response::endStreaming);
		}
		else {
			this.response.breakOff(new GatewayException("The response of the upstream ended before it was complete."));
		}
	}

	@Override
	public final void onFailure(Attempt attempt, AttemptFailure failure, Throwable cause) {
		AttemptEnd end = this.state.endWithFailure(attempt, !failure.hasNotRun());
		boolean obsolete = end == AttemptEnd.OBSOLETE;
		reportCompletion(attempt, (obsolete || attempt.isWithheld()) ? AttemptCompletion.CANCELLED
				: AttemptCompletion.of(failure, attempt.isConnectionLost()));
		if (!attempt.isOnNewConnection() && !attempt.hasResponseBegun() && !attempt.isWithheld()) {
			this.context.clients().closeIdleConnections(attempt.upstreamAddress());
		}
		if (obsolete) {
			return;
		}
		this.log.attemptFailed(attempt, failure, cause);
		if (end == AttemptEnd.DECISIVE) {
			onAttemptFailed(attempt, failure);
		}
	}

	// The request is closed only after the ends of all its attempts are reported.
	private void reportCompletion(Attempt attempt, AttemptCompletion completion) {
		try {
			onAttemptCompleted(attempt, completion);
		}
		catch (RuntimeException ex) {
			// The router may decide on other requests meanwhile, which must not keep this
			// one from being answered.
			this.log.reportFailed(attempt, ex);
		}
		this.state.recordReport(attempt);
		closeIfCompleted();
	}

	private void abortOtherAttempts(@Nullable Attempt attemptToKeep) {
		this.state.attemptsInProgress()
			.stream()
			.filter((attempt) -> attempt != attemptToKeep)
			.forEach((attempt) -> attempt
				.abort(new GatewayException("The attempt was aborted because its response is no longer needed.")));
	}

	private void onDeadlinePassed() {
		completeUnsuccessfully("The deadline passed.", DEFAULT_RETRY_AFTER_MILLIS, 504);
	}

	/**
	 * Completes a request for which no attempt brought a usable response. The caller
	 * receives the buffered response with a server error, or else a problem response.
	 * @param title the title of the problem
	 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds
	 * @param status the HTTP status of the problem if the request certainly did not run;
	 * see {@link Problem#ofUnknownOutcome()} for the other case
	 */
	private void completeUnsuccessfully(String title, long retryAfterMillis, int status) {
		completeUnsuccessfully(Problem.notRun(status, title, retryAfterMillis), this.state.tryComplete());
	}

	/**
	 * Completes a request in the same way, unless an attempt is in progress. The end of
	 * that attempt then decides what follows.
	 * @param title the title of the problem
	 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds
	 * @param status the HTTP status of the problem if the request certainly did not run
	 * @return whether the request is completed, now or before
	 */
	protected final boolean completeIfIdle(String title, long retryAfterMillis, int status) {
		completeUnsuccessfully(Problem.notRun(status, title, retryAfterMillis), this.state.tryCompleteIdle());
		return isCompleted();
	}

	// The outcome is null if the request is not completed by this call.
	private void completeUnsuccessfully(Problem problem, @Nullable RequestOutcome outcome) {
		if (outcome == null) {
			return;
		}
		BufferedResponse serverError = this.bufferedServerError;
		if (serverError != null && !this.response.isStreaming()) {
			// The upstream's own error response is more specific than a problem response.
			forward(serverError.attempt(), serverError.response(), serverError.content());
			return;
		}
		onCompleted();
		if (outcome == RequestOutcome.NOT_RUN) {
			releaseClaimThen(() -> writeProblem(problem));
		}
		else {
			writeProblem(problem.ofUnknownOutcome());
		}
	}

	private void onCallerDisconnected(Throwable cause) {
		RequestOutcome outcome = this.state.tryComplete();
		if (outcome != null) {
			onCompleted();
			if (outcome == RequestOutcome.NOT_RUN) {
				releaseClaimThen(() -> {
				});
			}
			this.log.callerDisconnected(cause);
			abortOtherAttempts(null);
			this.response.breakOff(cause);
		}
	}

	/**
	 * Completes a request that was not sent to any upstream with a problem response.
	 * @param problem the problem
	 */
	protected final void completeWithProblem(Problem problem) {
		RequestOutcome outcome = this.state.tryComplete();
		if (outcome == null) {
			return;
		}
		onCompleted();
		boolean contradicted = problem.outcome() == RequestOutcome.NOT_RUN && outcome != RequestOutcome.NOT_RUN;
		writeProblem(contradicted ? problem.ofUnknownOutcome() : problem);
	}

	private void writeProblem(Problem problem) {
		this.log.problemResponse(problem);
		abortOtherAttempts(null);
		if (this.response.isStreaming()) {
			this.response.breakOff(new GatewayException(problem.title()));
		}
		else {
			this.response.writeWhole(problem);
		}
	}

	/**
	 * Completes the request with a response that is written by this instance.
	 * @param writer writes the response
	 */
	protected final void completeWithResponse(ResponseWriter writer) {
		if (this.state.tryComplete() != null) {
			onCompleted();
			this.response.writeWhole(writer);
		}
	}

	private void onCompleted() {
		this.timers.cancelAll();
		closeIfCompleted();
	}

	private void closeIfCompleted() {
		if (this.state.tryClose()) {
			onClosed();
		}
	}

	protected final void schedule(long millis, Runnable task) {
		this.timers.schedule(millis, task);
	}

	private record BufferedResponse(Attempt attempt, org.eclipse.jetty.client.Response response, byte[] content) {
	}

	/**
	 * Writes a response to the caller.
	 */
	@FunctionalInterface
	protected interface ResponseWriter {

		/**
		 * Writes a response.
		 * @param response the response to write to
		 * @param callback the callback to complete when the response is written
		 */
		void write(Response response, Callback callback);

	}

}
