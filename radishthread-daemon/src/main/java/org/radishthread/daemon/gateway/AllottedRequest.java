package org.radishthread.daemon.gateway;

import java.util.function.Consumer;

import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.rules.WorkspaceRule;

/**
 * Request of a limited workspace that waits for a token or has one, until it is closed.
 * Safe for use by several threads.
 */
final class AllottedRequest {

	// The time after which a token that is given back counts as taken in the past.
	private static final long LATE_NANOS = 50_000_000;

	private final WorkspaceRule workspaceRule;

	private final Runnable onGrant;

	private final Consumer<RoutingEffect.Refusal> onRefusal;

	private boolean granted;

	private boolean closed;

	private long grantedNanos;

	private int openAttempts;

	private boolean mayHaveRun;

	AllottedRequest(WorkspaceRule workspaceRule, Runnable onGrant, Consumer<RoutingEffect.Refusal> onRefusal) {
		this.workspaceRule = workspaceRule;
		this.onGrant = onGrant;
		this.onRefusal = onRefusal;
	}

	String workspace() {
		return this.workspaceRule.name();
	}

	double requestsPerSecond() {
		return this.workspaceRule.requestsPerSecond();
	}

	// Returns false if the request was closed while it waited.
	synchronized boolean grant(long nowNanos) {
		this.granted = true;
		this.grantedNanos = nowNanos;
		return !this.closed;
	}

	void run() {
		this.onGrant.run();
	}

	void refuse(RoutingEffect.Refusal refusal) {
		this.onRefusal.accept(refusal);
	}

	synchronized void recordDispatch() {
		this.openAttempts++;
	}

	synchronized void recordResult(AttemptResult result) {
		this.openAttempts--;
		this.mayHaveRun |= !result.hasNotRun();
	}

	// Returns false if the request still waits for a decision.
	synchronized boolean close() {
		this.closed = true;
		return this.granted;
	}

	synchronized boolean hasNotRun() {
		return !this.mayHaveRun && this.openAttempts <= 0;
	}

	synchronized boolean isLate(long nowNanos) {
		return nowNanos - this.grantedNanos > LATE_NANOS;
	}

}
