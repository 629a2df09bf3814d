package org.radishthread.daemon.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.ClaimKeeper.Claim;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Sha256;
import org.radishthread.protocol.ClaimAnswer;
import org.radishthread.protocol.RecordedAnswer;
import org.radishthread.routing.AttemptKind;
import org.radishthread.routing.AttemptOutcome;
import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.Ticket;
import org.radishthread.rules.RouteRule;

/**
 * Takes one request of a caller to its one final answer: body, claim, routing, attempts,
 * answer. The decisions are made by the router, by {@link AttemptOutcome} and by the
 * control group.
 */
final class Exchange implements RoutingCallback, AttemptListener {

	private static final EventLog eventLog = EventLog.of(Exchange.class);

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int SERVER_ERROR = 500;

	private static final int NOT_IMPLEMENTED = 501;

	private final GatewayContext context;

	private final RouteRule route;

	private final GuardedRouter router;

	private final Request request;

	private final Response response;

	private final Callback callback;

	private final Ticket ticket;

	private final long startedNanos;

	private final List<Attempt> attempts = new ArrayList<>();

	private final List<ScheduledFuture<?>> timers = new ArrayList<>();

	private byte @Nullable [] body;

	private @Nullable Claim claim;

	private @Nullable Attempt winner;

	private boolean maybeRun;

	private boolean finished;

	Exchange(GatewayContext context, RouteRule route, Request request, Response response, Callback callback) {
		this.context = context;
		this.route = route;
		this.router = context.routing().router(route.service());
		this.request = request;
		this.response = response;
		this.callback = callback;
		this.startedNanos = context.time().monotonicNanos();
		this.ticket = new Ticket(context.nextTicket(), caller(), route.mode().mayRepeat(),
				this.startedNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis()));
	}

	private String caller() {
		String named = this.request.getHeaders().get(this.context.settings().limits().callerHeader());
		return (named != null) ? named : Request.getRemoteAddr(this.request);
	}

	private long timeoutMillis() {
		long allowed = this.route.timeout().toMillis();
		String wanted = this.request.getHeaders().get(RadishthreadHeader.DEADLINE);
		boolean valid = wanted != null && wanted.matches("[0-9]{1,9}");
		return valid ? Math.min(allowed, Long.parseLong(wanted)) : allowed;
	}

	private long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.ticket.deadlineNanos() - this.context.time().monotonicNanos());
	}

	// Body and claim

	void start() {
		this.request.addFailureListener(this::callerLost);
		if (!this.route.mode().isStreamed()) {
			schedule(timeoutMillis(), this::deadlineReached);
		}
		if (this.route.mode().isStreamed() || !hasBody()) {
			begin();
			return;
		}
		int limit = this.context.settings().limits().heldRequestBytes();
		Content.Source.asByteArrayAsync(this.request, limit).whenComplete((bytes, failure) -> {
			if (failure != null) {
				finish(Problem.notRun(413, "The request body was not received whole, or exceeds " + limit
						+ " bytes; mark the route as upload for larger ones.", 0));
				return;
			}
			this.body = bytes;
			begin();
		});
	}

	private boolean hasBody() {
		return this.request.getLength() > 0 || this.request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
	}

	private void begin() {
		String key = this.request.getHeaders().get(RadishthreadHeader.IDEMPOTENCY_KEY);
		if (this.route.mode().mayRepeat() || key == null) {
			this.router.admit(this.ticket, this);
			return;
		}
		Claim taken = this.context.claims().newClaim(this.route.service(), key, fingerprint());
		this.context.claims().take(taken, remainingMillis()).whenComplete((answer, failure) -> {
			if (failure != null) {
				this.context.claims().release(taken);
				finish(Problem.notRun(503, "The claim of this request could not be recorded in time.",
						RETRY_AFTER_MILLIS));
				return;
			}
			claimed(taken, answer);
		});
	}

	private byte[] fingerprint() {
		byte[] content = this.body;
		String digest = (content != null) ? ByteString.copyFrom(content).toString(StandardCharsets.ISO_8859_1) : "";
		return Sha256.of(this.request.getMethod() + '\n' + this.request.getHttpURI().getPathQuery() + '\n'
				+ this.request.getHeaders().get(HttpHeader.AUTHORIZATION) + '\n' + digest);
	}

	private void claimed(Claim taken, ClaimAnswer answer) {
		eventLog.information("claim")
			.with("request", this.ticket.id())
			.with("service", this.route.service())
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
		synchronized (this) {
			if (!this.finished) {
				this.claim = taken;
			}
		}
		if (this.claim == null || remainingMillis() <= 0) {
			this.context.claims().release(taken);
			finish(Problem.notRun(503, "The deadline passed before the request was sent.", RETRY_AFTER_MILLIS));
			return;
		}
		this.router.admit(this.ticket, this);
	}

	private void replay(RecordedAnswer answer) {
		if (!answer.getBodyKept()) {
			finish(new Problem(409, "The request already ran; its answer was not kept.", RequestOutcome.RUN, 0));
			return;
		}
		if (!tryFinish()) {
			return;
		}
		this.response.setStatus(answer.getStatus());
		this.response.getHeaders().put(RadishthreadHeader.REPLAYED, "true");
		if (!answer.getContentType().isEmpty()) {
			this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.getContentType());
		}
		this.response.write(true, answer.getBody().asReadOnlyByteBuffer(), this.callback);
	}

	// Attempts

	@Override
	public void dispatch(RoutingEffect.Dispatch dispatch) {
		boolean onNewConnection = !this.route.mode().mayRepeat() || dispatch.kind() != AttemptKind.FIRST;
		NetworkAddress address = NetworkAddress.parse(dispatch.upstream().address());
		org.eclipse.jetty.client.Request outgoing = this.context.clients().request(address, onNewConnection);
		String name = this.context.settings().instance() + '-' + this.ticket.id() + '-' + dispatch.kind().word();
		prepare(outgoing, name);
		int limit = this.context.settings().limits().heldAnswerBytes();
		Attempt attempt = new Attempt(dispatch, outgoing, name, limit, onNewConnection, this);
		synchronized (this) {
			if (this.finished) {
				this.router.attemptEnded(this.ticket.id(), dispatch.upstream().name(), AttemptResult.CANCELLED);
				return;
			}
			this.attempts.add(attempt);
		}
		attempt.send();
		if (dispatch.hedgeAfterNanos() > 0) {
			schedule(Math.max(1, TimeUnit.NANOSECONDS.toMillis(dispatch.hedgeAfterNanos())),
					() -> this.router.hedge(this.ticket.id()));
		}
	}

	private void prepare(org.eclipse.jetty.client.Request outgoing, String name) {
		outgoing.method(this.request.getMethod()).path(this.request.getHttpURI().getPathQuery());
		outgoing.headers((headers) -> {
			ForwardedHeaders.copyRequest(this.request.getHeaders(), headers);
			headers.put(RadishthreadHeader.REQUEST, name);
			headers.put(RadishthreadHeader.DEADLINE, Math.max(1, remainingMillis()));
		});
		if (this.route.mode().isStreamed()) {
			outgoing.idleTimeout(this.route.timeout().toMillis(), TimeUnit.MILLISECONDS);
			outgoing.body(new ContentSourceRequestContent(this.request, contentType()));
		}
		else if (this.body != null) {
			outgoing.body(new BytesRequestContent(contentType(), this.body));
		}
	}

	private @Nullable String contentType() {
		return this.request.getHeaders().get(HttpHeader.CONTENT_TYPE);
	}

	@Override
	public void whole(Attempt attempt, org.eclipse.jetty.client.Response answer, byte[] content) {
		int status = answer.getStatus();
		boolean serverError = status >= SERVER_ERROR && status != NOT_IMPLEMENTED;
		endAttempt(attempt, serverError ? AttemptResult.FAILURE : AttemptResult.SUCCESS);
		if (!tryWin(attempt) || !tryFinish()) {
			return;
		}
		recordAnswer(answer, content);
		abortOthers(attempt);
		copyAnswer(answer);
		this.context.recordLatency(this.route.service(), this.context.time().monotonicNanos() - this.startedNanos);
		this.response.write(true, ByteBuffer.wrap(content), this.callback);
	}

	private void copyAnswer(org.eclipse.jetty.client.Response answer) {
		this.response.setStatus(answer.getStatus());
		ForwardedHeaders.copyAnswer(answer.getHeaders(), this.response.getHeaders());
	}

	private void recordAnswer(org.eclipse.jetty.client.Response answer, byte @Nullable [] content) {
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
		this.context.claims().complete(held, recorded.build());
	}

	@Override
	public boolean mayStream(Attempt attempt, org.eclipse.jetty.client.Response answer) {
		if (!tryWin(attempt)) {
			return false;
		}
		cancelTimers();
		abortOthers(attempt);
		copyAnswer(answer);
		recordAnswer(answer, null);
		return true;
	}

	@Override
	public void part(byte[] bytes, Runnable done) {
		this.response.write(false, ByteBuffer.wrap(bytes), Callback.from(done, this::callerLost));
	}

	@Override
	public void streamEnded(Attempt attempt, boolean complete) {
		endAttempt(attempt, complete ? AttemptResult.SUCCESS : AttemptResult.FAILURE);
		if (!tryFinish()) {
			return;
		}
		if (complete) {
			this.response.write(true, ByteBuffer.allocate(0), this.callback);
		}
		else {
			// The connection breaks, so that a part can not be taken for the whole.
			this.callback.failed(new GatewayException("The upstream broke off in the middle of its answer."));
		}
	}

	@Override
	public void failed(Attempt attempt, AttemptOutcome outcome, Throwable cause) {
		boolean given = isFinishedOrLost(attempt);
		endAttempt(attempt, given ? AttemptResult.CANCELLED : outcome.result());
		if (!attempt.isOnNewConnection() && !attempt.hasAnswerBegun()) {
			this.context.clients().distrustKept(NetworkAddress.parse(attempt.dispatch().upstream().address()));
		}
		if (given) {
			closeIfDone();
			return;
		}
		eventLog.information("attempt-failed")
			.with("request", this.ticket.id())
			.with("upstream", attempt.dispatch().upstream().name())
			.with("outcome", outcome)
			.with("cause", cause.getMessage())
			.write();
		synchronized (this) {
			this.maybeRun |= !outcome.isNotRun();
			if (!this.attempts.isEmpty()) {
				// Another attempt is still under way.
				return;
			}
		}
		boolean bodyAvailable = !this.route.mode().isStreamed() || outcome == AttemptOutcome.NOT_SENT;
		if (outcome.allowsRetry(this.route.mode(), bodyAvailable)) {
			this.router.retry(this.ticket.id());
		}
		else {
			giveUp("The upstream gave no whole answer.", RETRY_AFTER_MILLIS, 502);
		}
	}

	private synchronized boolean isFinishedOrLost(Attempt attempt) {
		return this.finished || (this.winner != null && this.winner != attempt);
	}

	private void endAttempt(Attempt attempt, AttemptResult result) {
		synchronized (this) {
			this.attempts.remove(attempt);
		}
		this.router.attemptEnded(this.ticket.id(), attempt.dispatch().upstream().name(), result);
	}

	private synchronized boolean tryWin(Attempt attempt) {
		if (this.finished || (this.winner != null && this.winner != attempt)) {
			return false;
		}
		this.winner = attempt;
		return true;
	}

	private void abortOthers(@Nullable Attempt kept) {
		List<Attempt> others;
		synchronized (this) {
			others = this.attempts.stream().filter((attempt) -> attempt != kept).toList();
		}
		others.forEach((attempt) -> attempt.abort(new GatewayException("The attempt is not needed any more.")));
	}

	// End

	@Override
	public void refuse(RoutingEffect.Refusal refusal) {
		giveUp("Not sent: " + refusal.reason().word() + ".", refusal.retryAfterMillis(), refusal.reason().status());
	}

	private void deadlineReached() {
		synchronized (this) {
			this.maybeRun |= !this.attempts.isEmpty();
		}
		giveUp("The deadline passed.", RETRY_AFTER_MILLIS, 504);
	}

	private void giveUp(String title, long retryAfterMillis, int status) {
		if (this.maybeRun) {
			finish(Problem.unknown(status, title, retryAfterMillis));
			return;
		}
		Claim held = this.claim;
		if (held == null) {
			finish(Problem.notRun(status, title, retryAfterMillis));
			return;
		}
		// The key is free again when the caller learns that it may use it again.
		this.context.claims()
			.release(held)
			.orTimeout(RETRY_AFTER_MILLIS, TimeUnit.MILLISECONDS)
			.whenComplete((done, failure) -> finish(Problem.notRun(status, title, retryAfterMillis)));
	}

	private void callerLost(Throwable cause) {
		if (tryFinish()) {
			eventLog.information("caller-lost").with("request", this.ticket.id()).with("cause", cause).write();
			abortOthers(null);
			this.callback.failed(cause);
		}
	}

	private void finish(Problem problem) {
		if (tryFinish()) {
			eventLog.information("problem")
				.with("request", this.ticket.id())
				.with("service", this.route.service())
				.with("status", problem.status())
				.with("outcome", problem.outcome().word())
				.with("title", problem.title())
				.write();
			abortOthers(null);
			problem.write(this.response, this.callback);
		}
	}

	private boolean tryFinish() {
		synchronized (this) {
			if (this.finished) {
				return false;
			}
			this.finished = true;
		}
		cancelTimers();
		closeIfDone();
		return true;
	}

	private void closeIfDone() {
		synchronized (this) {
			if (!this.finished || !this.attempts.isEmpty()) {
				return;
			}
		}
		this.router.close(this.ticket.id());
	}

	private void schedule(long millis, Runnable task) {
		ScheduledFuture<?> timer = this.context.timer().schedule(task, millis, TimeUnit.MILLISECONDS);
		synchronized (this) {
			this.timers.add(timer);
		}
	}

	private void cancelTimers() {
		synchronized (this) {
			this.timers.forEach((timer) -> timer.cancel(false));
			this.timers.clear();
		}
	}

}
