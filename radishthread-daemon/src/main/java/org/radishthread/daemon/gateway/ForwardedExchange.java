package org.radishthread.daemon.gateway;

import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

import org.radishthread.daemon.gateway.HomeDirectory.Home;
import org.radishthread.kernel.EventLog;
import org.radishthread.routing.AttemptOutcome;
import org.radishthread.rules.RouteRule;

/**
 * Sends a request to the home of its service. An instance that can not be reached, or
 * that does not take work, is passed over for the next one; a request that may repeat
 * also goes to the next one when its home is silent.
 */
final class ForwardedExchange extends AbstractExchange {

	private static final EventLog eventLog = EventLog.of(ForwardedExchange.class);

	private static final int MAXIMUM_HOMES = 3;

	private final Deque<Home> candidates;

	private final ForwardStatistics statistics;

	ForwardedExchange(GatewayContext context, RouteRule route, List<Home> homes, Request request, Response response,
			Callback callback) {
		super(context, route, request, response, callback);
		this.statistics = context.forwardStatistics(route.service());
		this.candidates = new ConcurrentLinkedDeque<>(homes.subList(0, Math.min(MAXIMUM_HOMES, homes.size())));
	}

	@Override
	protected void begin() {
		forward("forward");
		if (route().mode().mayRepeat()) {
			schedule(this.statistics.silenceMillis(), this::homeIsSilent);
		}
	}

	private void forward(String kind) {
		Home next = this.candidates.poll();
		if (next == null) {
			giveUp("No instance that routes for the service could be reached.", RETRY_AFTER_MILLIS, 503);
			return;
		}
		eventLog.information("forward")
			.with("service", route().service())
			.with("request", id())
			.with("home", next.name())
			.with("kind", kind)
			.write();
		boolean onNewConnection = !route().mode().mayRepeat() || !kind.equals("forward");
		send(next.name(), next.address(), kind, onNewConnection, context().settings().secrets().peer());
	}

	private void homeIsSilent() {
		if (isFinished() || this.candidates.isEmpty() || !this.statistics.trySecondAttempt()) {
			return;
		}
		forward("hedge");
	}

	@Override
	public void refused(Attempt attempt, org.eclipse.jetty.client.Response answer, byte[] content) {
		if (answer.getStatus() == HttpStatus.MISDIRECTED_REQUEST_421) {
			failed(attempt, AttemptOutcome.REFUSED, new GatewayException("The instance takes no work."));
			return;
		}
		// The home gave the final answer.
		whole(attempt, answer, content);
	}

	@Override
	protected void attemptEnded(Attempt attempt, AttemptEnd end) {
		if (end == AttemptEnd.FAILED || end == AttemptEnd.REFUSED) {
			context().homes().suspect(attempt.targetName());
		}
		else if (end == AttemptEnd.ANSWERED) {
			this.statistics.answered(elapsedNanos());
			context().homes().answered(attempt.targetName());
		}
	}

	@Override
	protected void attemptFailed(Attempt attempt, AttemptOutcome outcome) {
		if (outcome.allowsRetry(route().mode(), true)) {
			forward("retry");
		}
		else {
			giveUp("The instance that routes for the service gave no whole answer.", RETRY_AFTER_MILLIS, 502);
		}
	}

	@Override
	protected void answerTaken(org.eclipse.jetty.client.Response answer, byte @Nullable [] content) {
		context().recordLatency(route().service(), elapsedNanos());
	}

	@Override
	protected void closed() {
		// Nothing is held for a forwarded request.
	}

}
