package org.radishthread.daemon.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentSourceRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.AttemptFailure;
import org.radishthread.rules.RouteRule;

/**
 * Shared flow of taking one request of a caller to its one final answer: body, attempts,
 * answer, departure of the caller. Subclasses say where attempts go and what follows when
 * one fails.
 */
abstract class AbstractExchange implements AttemptListener {

	protected static final long RETRY_AFTER_MILLIS = 1_000;

	private static final long CALLER_CHECK_MILLIS = 150;

	private static final EventLog eventLog = EventLog.of(AbstractExchange.class);

	private final GatewayContext context;

	private final RouteRule route;

	private final Request request;

	private final Response response;

	private final Callback callback;

	private final long id;

	// Of the rules by which the request was routed.
	private final long revision;

	private final long startedNanos;

	private final OptionalLong callerMillis;

	private final long timeoutMillis;

	private final long deadlineNanos;

	private final List<Attempt> attempts = new ArrayList<>();

	private final List<ScheduledFuture<?>> timers = new ArrayList<>();

	private volatile byte @Nullable [] body;

	private @Nullable Attempt winner;

	private volatile @Nullable HeldAnswer reserve;

	private boolean maybeRun;

	private boolean finished;

	protected AbstractExchange(GatewayContext context, RouteRule route, Request request, Response response,
			Callback callback) {
		this.context = context;
		this.route = route;
		this.request = request;
		this.response = response;
		this.callback = callback;
		this.id = context.nextTicket();
		this.revision = context.routing().revision();
		this.startedNanos = context.time().monotonicNanos();
		this.callerMillis = CallerTime.remainingMillis(context.dialect(), request.getHeaders());
		this.timeoutMillis = timeoutMillis();
		this.deadlineNanos = this.startedNanos + TimeUnit.MILLISECONDS.toNanos(this.timeoutMillis);
	}

	/**
	 * Sends the request on its way; its body is at hand.
	 */
	protected abstract void begin();

	/**
	 * Learns that an attempt ended in any way.
	 * @param attempt the attempt
	 * @param end how it ended
	 */
	protected abstract void attemptEnded(Attempt attempt, AttemptEnd end);

	/**
	 * Decides what follows when an attempt failed and no other is under way.
	 * @param attempt the attempt
	 * @param outcome what is known of it
	 */
	protected abstract void attemptFailed(Attempt attempt, AttemptFailure outcome);

	/**
	 * Learns which answer the caller gets.
	 * @param answer status and headers
	 * @param content the whole body, or {@code null} if it is streamed
	 */
	protected abstract void answerTaken(org.eclipse.jetty.client.Response answer, byte @Nullable [] content);

	/**
	 * Learns that the caller has its answer and no attempt is under way.
	 */
	protected abstract void closed();

	/**
	 * Returns whether a whole answer that tells of a failure of the upstream is held back
	 * while another attempt is made.
	 * @return whether to try again
	 */
	protected boolean triesAgainAfterServerError() {
		return false;
	}

	/**
	 * Gives back what the request holds, when it certainly did not run, and goes on.
	 * @param then what to do afterwards
	 */
	protected void releaseThen(Runnable then) {
		then.run();
	}

	protected final GatewayContext context() {
		return this.context;
	}

	// The caller's own name of the request, where it has one.
	protected final String logName() {
		String number = this.context.settings().instance() + '-' + this.id;
		String name = this.context.dialect().requestId(this.request.getHeaders(), number);
		return (name != null) ? name : number;
	}

	protected final RouteRule route() {
		return this.route;
	}

	protected final Request request() {
		return this.request;
	}

	protected final long id() {
		return this.id;
	}

	protected final byte @Nullable [] body() {
		return this.body;
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

	protected final synchronized int attemptsUnderWay() {
		return this.attempts.size();
	}

	protected final synchronized boolean isFinished() {
		return this.finished;
	}

	protected final String caller() {
		String named = this.request.getHeaders().get(this.context.settings().limits().callerHeader());
		return (named != null) ? named : Request.getRemoteAddr(this.request);
	}

	private long timeoutMillis() {
		Duration total = this.route.limits().total();
		long allowed = ((total != null) ? total : this.route.timeout()).toMillis();
		return Math.min(allowed, this.callerMillis.orElse(allowed));
	}

	// The timeout of an upload bounds only the time without progress.
	private boolean hasDeadline() {
		return !this.route.mode().isStreamed() || this.route.limits().total() != null || this.callerMillis.isPresent();
	}

	/**
	 * Returns whether the body of the request is passed on as it arrives. The body of a
	 * small upload is held, so that it can be sent again after an upstream refused it.
	 * @return whether the body can be sent only once
	 */
	protected final boolean isStreamed() {
		long length = this.request.getLength();
		boolean small = length >= 0 && length <= this.context.settings().limits().requestBufferBytes();
		return this.route.mode().isStreamed() && !small;
	}

	protected final long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - this.context.time().monotonicNanos());
	}

	// Body

	final void start() {
		this.request.addFailureListener(this::callerLost);
		if (hasDeadline()) {
			schedule(this.timeoutMillis, this::deadlineReached);
		}
		watchCaller();
		if (isStreamed() || !hasBody()) {
			begin();
			return;
		}
		int limit = this.context.settings().limits().requestBufferBytes();
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

	// Looks again and again, because nothing is read from the connection meanwhile.
	private void watchCaller() {
		if (isFinished()) {
			return;
		}
		if (isBodyRead()
				&& this.request.getConnectionMetaData().getConnection().getEndPoint() instanceof CallerEndPoint endPoint
				&& endPoint.isCallerGone()) {
			callerLost(new EofException("The caller closed the connection."));
			return;
		}
		schedule(CALLER_CHECK_MILLIS, this::watchCaller);
	}

	private boolean isBodyRead() {
		return !hasBody() || this.body != null;
	}

	private boolean hasBody() {
		return this.request.getLength() > 0 || this.request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
	}

	// Attempts

	/**
	 * Sends the request to one other end.
	 * @param name the name of the other end
	 * @param address its address
	 * @param kind a word for the kind of attempt
	 * @param onNewConnection whether to open a connection for it
	 * @return whether it was sent; if not, the caller already has its answer
	 */
	protected final boolean send(String name, NetworkAddress address, String kind, boolean onNewConnection) {
		org.eclipse.jetty.client.Request outgoing = this.context.clients().request(address, onNewConnection);
		HttpDialect dialect = this.context.dialect();
		String requestId = dialect.requestId(this.request.getHeaders(),
				this.context.settings().instance() + '-' + this.id + '-' + kind);
		prepare(outgoing, new HttpDialect.AttemptDetails(requestId, remainingMillis(), name));
		int limit = this.context.settings().limits().responseBufferBytes();
		eventLog.information("attempt")
			.with("request", logName())
			.with("number", this.id)
			.with("service", this.route.service())
			.with("upstream", name)
			.with("kind", kind)
			.with("revision", this.revision)
			.with("remaining-millis", remainingMillis())
			.write();
		Attempt attempt = new Attempt(name, address, outgoing, dialect, requestId, limit, onNewConnection, this);
		synchronized (this) {
			if (this.finished) {
				return false;
			}
			this.attempts.add(attempt);
		}
		attempt.send();
		return true;
	}

	private void prepare(org.eclipse.jetty.client.Request outgoing, HttpDialect.AttemptDetails described) {
		outgoing.method(this.request.getMethod()).path(this.request.getHttpURI().getPathQuery());
		outgoing.headers((headers) -> {
			ForwardedHeaders.copyRequest(this.context.dialect(), this.request.getHeaders(), headers);
			this.context.dialect().addAttemptHeaders(headers, described);
		});
		if (isStreamed()) {
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
	public final void whole(Attempt attempt, org.eclipse.jetty.client.Response answer, byte[] content) {
		AttemptEnd end = AttemptEnd.ofAnswer(answer.getStatus());
		endAttempt(attempt, end);
		if (end == AttemptEnd.ANSWERED_BY_SERVER_ERROR && triesAgainAfterServerError() && !isDecidedWithout(attempt)) {
			this.reserve = new HeldAnswer(attempt, answer, content);
			if (!isAnotherUnderWayAfter(AttemptFailure.NO_COMPLETE_RESPONSE)) {
				attemptFailed(attempt, AttemptFailure.NO_COMPLETE_RESPONSE);
			}
			return;
		}
		if (!tryWin(attempt)) {
			closeIfDone();
			return;
		}
		passOn(attempt, answer, content);
	}

	/**
	 * Gives the caller an answer that is held whole.
	 * @param attempt the attempt that brought it
	 * @param answer status and headers
	 * @param content the whole body
	 */
	protected final void passOn(Attempt attempt, org.eclipse.jetty.client.Response answer, byte[] content) {
		if (!tryFinish()) {
			return;
		}
		logAnswered(attempt, answer.getStatus(), "whole");
		answerTaken(answer, content);
		abortOthers(attempt);
		copyAnswer(answer);
		this.response.write(true, ByteBuffer.wrap(content), this.callback);
	}

	private void logAnswered(Attempt attempt, int status, String form) {
		eventLog.information("answered")
			.with("request", logName())
			.with("service", this.route.service())
			.with("upstream", attempt.targetName())
			.with("status", status)
			.with("form", form)
			.with("elapsed-millis", TimeUnit.NANOSECONDS.toMillis(elapsedNanos()))
			.write();
	}

	private void copyAnswer(org.eclipse.jetty.client.Response answer) {
		this.response.setStatus(answer.getStatus());
		ForwardedHeaders.copyAnswer(this.context.dialect(), answer.getHeaders(), this.response.getHeaders());
	}

	@Override
	public final boolean mayStream(Attempt attempt, org.eclipse.jetty.client.Response answer) {
		if (!tryWin(attempt)) {
			return false;
		}
		cancelTimers();
		abortOthers(attempt);
		copyAnswer(answer);
		answerTaken(answer, null);
		return true;
	}

	@Override
	public final void part(byte[] bytes, Runnable done) {
		this.response.write(false, ByteBuffer.wrap(bytes), Callback.from(done, this::callerLost));
	}

	@Override
	public final void streamEnded(Attempt attempt, boolean complete) {
		endAttempt(attempt, complete ? AttemptEnd.ANSWERED : AttemptEnd.FAILED);
		if (!tryFinish()) {
			return;
		}
		logAnswered(attempt, this.response.getStatus(), complete ? "streamed" : "broken");
		if (complete) {
			this.response.write(true, ByteBuffer.allocate(0), this.callback);
		}
		else {
			// The connection breaks, so that a part can not be taken for the whole.
			this.callback.failed(new GatewayException("The other end broke off in the middle of its answer."));
		}
	}

	@Override
	public final void failed(Attempt attempt, AttemptFailure outcome, Throwable cause) {
		boolean notNeeded = isDecidedWithout(attempt);
		endAttempt(attempt, notNeeded ? AttemptEnd.CANCELLED : AttemptEnd.of(outcome));
		if (!attempt.isOnNewConnection() && !attempt.hasAnswerBegun()) {
			this.context.clients().distrustKept(attempt.targetAddress());
		}
		if (notNeeded) {
			closeIfDone();
			return;
		}
		eventLog.information("attempt-failed")
			.with("request", logName())
			.with("target", attempt.targetName())
			.with("outcome", outcome)
			.with("cause", cause.getMessage())
			.write();
		if (!isAnotherUnderWayAfter(outcome)) {
			attemptFailed(attempt, outcome);
		}
	}

	private synchronized boolean isAnotherUnderWayAfter(AttemptFailure outcome) {
		this.maybeRun |= !outcome.hasNotRun();
		return !this.attempts.isEmpty();
	}

	private synchronized boolean isDecidedWithout(Attempt attempt) {
		return this.finished || (this.winner != null && this.winner != attempt);
	}

	protected final void endAttempt(Attempt attempt, AttemptEnd end) {
		synchronized (this) {
			this.attempts.remove(attempt);
		}
		attemptEnded(attempt, end);
	}

	protected final synchronized boolean tryWin(Attempt attempt) {
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

	private void deadlineReached() {
		synchronized (this) {
			this.maybeRun |= !this.attempts.isEmpty();
		}
		giveUp("The deadline passed.", RETRY_AFTER_MILLIS, 504);
	}

	/**
	 * Gives the final answer that there is none from an upstream, at once.
	 * @param title what happened
	 * @param retryAfterMillis when asking again may help, in milliseconds
	 * @param status the HTTP status
	 */
	protected final void giveUp(String title, long retryAfterMillis, int status) {
		HeldAnswer kept = this.reserve;
		if (kept != null) {
			// What the upstream said of its failure says more than this instance could.
			passOn(kept.attempt(), kept.answer(), kept.content());
			return;
		}
		if (this.maybeRun) {
			// It was tried, so it is not the service that is unavailable to this request.
			int tried = (status == HttpStatus.GATEWAY_TIMEOUT_504) ? status : HttpStatus.BAD_GATEWAY_502;
			finish(Problem.unknown(tried, title, retryAfterMillis));
		}
		else {
			releaseThen(() -> finish(Problem.notRun(status, title, retryAfterMillis)));
		}
	}

	private void callerLost(Throwable cause) {
		if (tryFinish()) {
			eventLog.information("caller-lost").with("request", logName()).with("cause", cause).write();
			abortOthers(null);
			this.callback.failed(cause);
		}
	}

	protected final void finish(Problem problem) {
		if (tryFinish()) {
			eventLog.information("problem")
				.with("request", logName())
				.with("service", this.route.service())
				.with("status", problem.status())
				.with("outcome", problem.outcome().word())
				.with("title", problem.title())
				.with("revision", this.revision)
				.with("elapsed-millis", TimeUnit.NANOSECONDS.toMillis(elapsedNanos()))
				.write();
			abortOthers(null);
			problem.write(this.context.dialect(), this.response, this.callback);
		}
	}

	/**
	 * Gives the caller an answer of this instance's own.
	 * @param writer writes the answer
	 */
	protected final void finishWith(AnswerWriter writer) {
		if (tryFinish()) {
			writer.write(this.response, this.callback);
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
		closed();
	}

	protected final void schedule(long millis, Runnable task) {
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

	private record HeldAnswer(Attempt attempt, org.eclipse.jetty.client.Response answer, byte[] content) {
	}

	/**
	 * Writes an answer.
	 */
	@FunctionalInterface
	protected interface AnswerWriter {

		/**
		 * Writes an answer.
		 * @param response where to write it
		 * @param callback to be completed when it is written
		 */
		void write(Response response, Callback callback);

	}

}
