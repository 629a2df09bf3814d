package org.radishthread.daemon.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

import org.radishthread.kernel.EventLog;
import org.radishthread.routing.RefusalReason;
import org.radishthread.routing.ServiceLoad;

/**
 * Logs the load of one service while requests of it wait or are refused, at most once a
 * second: whether its slots are in use, are held by attempts whose completion is not
 * reported, or are free at upstreams that are expected to be too slow. Safe for use by
 * several threads.
 */
final class ServiceLoadLog {

	/**
	 * The shortest time between two lines, in nanoseconds.
	 */
	static final long INTERVAL_NANOS = 1_000_000_000L;

	private static final EventLog eventLog = EventLog.of(ServiceLoadLog.class);

	private final String service;

	private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);

	private int dispatches;

	private int unreportedAttempts;

	private long lastLineNanos = Long.MIN_VALUE / 2;

	ServiceLoadLog(String service) {
		this.service = service;
	}

	synchronized void recordDispatch() {
		this.dispatches++;
	}

	synchronized void recordRefusal(RefusalReason reason) {
		this.refusals.merge(reason, 1, Integer::sum);
	}

	synchronized void recordUnreportedAttempt() {
		this.unreportedAttempts++;
	}

	// Returns whether a line is due, and takes it for written.
	synchronized boolean tryAcquireLine(boolean queued, long nowNanos) {
		boolean due = (queued || !this.refusals.isEmpty()) && nowNanos - this.lastLineNanos >= INTERVAL_NANOS;
		this.lastLineNanos = due ? nowNanos : this.lastLineNanos;
		return due;
	}

	synchronized void write(ServiceLoad load) {
		eventLog.information("service-load")
			.with("service", this.service)
			.with("upstreams", load.upstreams())
			.with("slots", load.slots())
			.with("in-flight", load.inFlight())
			.with("queued", load.queued())
			.with("oldest-attempt-millis", load.oldestAttemptMillis())
			.with("overrun-upstreams", load.overrunUpstreams())
			.with("dispatches", this.dispatches)
			.with("unreported-attempts", this.unreportedAttempts)
			.with("refusals", refusalText())
			.write();
		this.dispatches = 0;
		this.unreportedAttempts = 0;
		this.refusals.clear();
	}

	private String refusalText() {
		return this.refusals.isEmpty() ? "none"
				: this.refusals.entrySet()
					.stream()
					.map((entry) -> entry.getKey().wireName() + ':' + entry.getValue())
					.collect(Collectors.joining(","));
	}

}
