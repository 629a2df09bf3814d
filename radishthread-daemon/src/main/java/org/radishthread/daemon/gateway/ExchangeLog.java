package org.radishthread.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.EventLog;
import org.radishthread.routing.AttemptFailure;

/**
 * Logs the events of one exchange.
 */
final class ExchangeLog {

	private static final EventLog eventLog = EventLog.of(AbstractExchange.class);

	private final AbstractExchange exchange;

	ExchangeLog(AbstractExchange exchange) {
		this.exchange = exchange;
	}

	private EventLog.Event event(String name) {
		return eventLog.information(name).with("request", this.exchange.loggedRequestId());
	}

	private long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.exchange.elapsedNanos());
	}

	void attempt(String upstream, String kind, @Nullable String relay) {
		event("attempt").with("number", this.exchange.requestNumber())
			.with("service", this.exchange.route().service())
			.with("upstream", upstream)
			.with("kind", kind)
			.with("relay", (relay != null) ? relay : "none")
			.with("digest", this.exchange.digest())
			.with("revision", this.exchange.rulesRevision())
			.with("remaining-millis", this.exchange.remainingMillis())
			.write();
	}

	void attemptFailed(Attempt attempt, AttemptFailure failure, Throwable cause) {
		event("attempt-failed").with("upstream", attempt.upstreamName())
			.with("outcome", failure)
			.with("connection", attempt.isOnNewConnection() ? "new" : "pooled")
			.with("connection-lost", attempt.isConnectionLost())
			.with("relayed", attempt.isRelayed())
			.with("named", attempt.isNamedByResponse())
			.with("received-bytes", attempt.receivedBytes())
			.with("digest", this.exchange.digest())
			.with("cause", cause.getMessage())
			.write();
	}

	void reportFailed(Attempt attempt, RuntimeException cause) {
		eventLog.failure("attempt-report-failed", cause)
			.with("request", this.exchange.loggedRequestId())
			.with("upstream", attempt.upstreamName())
			.write();
	}

	void streamingStarted(Attempt attempt, CallerResponse response) {
		event("response-streamed").with("upstream", attempt.upstreamName())
			.with("received", attempt.framing().wireName())
			.with("held-bytes", attempt.receivedBytes())
			.with("sent", response.framing().wireName())
			.with("caller", response.callerProtocol())
			.write();
	}

	void responseForwarded(Attempt attempt, int status, String form) {
		event("response-forwarded").with("service", this.exchange.route().service())
			.with("upstream", attempt.upstreamName())
			.with("connection", attempt.isOnNewConnection() ? "new" : "pooled")
			.with("status", status)
			.with("form", form)
			.with("received", attempt.framing().wireName())
			.with("bytes", attempt.receivedBytes())
			.with("repeated", attempt.isRepeated())
			.with("elapsed-millis", elapsedMillis())
			.write();
	}

	void problemResponse(Problem problem) {
		event("problem-response").with("service", this.exchange.route().service())
			.with("status", problem.status())
			.with("outcome", problem.outcome().wireName())
			.with("title", problem.title())
			.with("attempts-begun", this.exchange.begunAttemptCount())
			.with("attempts-in-progress", this.exchange.activeAttemptCount())
			.with("revision", this.exchange.rulesRevision())
			.with("elapsed-millis", elapsedMillis())
			.write();
	}

	void callerDisconnected(Throwable cause) {
		event("caller-disconnected").with("cause", cause).write();
	}

}
