package org.radishthread.routing;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Judges by queue and expected times which requests are worth waiting for: which are
 * refused at once, in which order the others are served, and when a caller that was
 * refused should come back.
 */
final class AdmissionControl {

	/**
	 * The least rank of requests that can no longer be answered within their objective.
	 */
	static final int LATE_RANK = 1_000_000;

	/**
	 * When a caller may come back that was refused for want of budget, in milliseconds.
	 */
	static final long NO_BUDGET_RETRY_AFTER_MILLIS = 100;

	/**
	 * When a caller may come back while no upstream takes work, in milliseconds.
	 */
	static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 1_000;

	private static final int MINIMUM_CALLER_SHARE = 2;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final double LATE_PER_SLOT = 0.5;

	// The part of the usual time below which an attempt is not worth a slot.
	private static final double LEAST_SERVICE_SHARE = 0.5;

	// Nine of ten requests of a service take less than this multiple of
	// the usual work.
	private static final double SPREAD_FACTOR = 1.3;

	private final CallerQueues queues;

	private final ThroughputEstimate throughput;

	private final ContentionEstimate crowding;

	AdmissionControl(CallerQueues queues, ThroughputEstimate throughput, ContentionEstimate crowding) {
		this.queues = queues;
		this.throughput = throughput;
		this.crowding = crowding;
	}

	@Nullable Refusal reasonToRefuse(RoutingRequest ticket, ServiceRule rule, long usable, long now) {
		if (usable == 0) {
			return new Refusal(ticket.id(), RefusalReason.NO_UPSTREAM,
					retryAfterMillis(ticket, NO_UPSTREAM_RETRY_AFTER_MILLIS, now));
		}
		if (this.queues.size() == 0) {
			return null;
		}
		double wait = this.throughput.expectedWaitNanos(this.queues.sizeUpTo(rank(ticket, now)) + 1);
		long retryAfter = retryAfterMillis(ticket, (long) (wait / NANOS_PER_MILLI), now);
		if (exceedsShare(ticket.caller(), rule, usable)) {
			return new Refusal(ticket.id(), RefusalReason.CALLER_LIMIT, retryAfter);
		}
		boolean late = now + wait + typicalNanos() > ticket.deadlineNanos() || wait > rule.queueTimeout().toNanos();
		boolean afterObjective = now + wait + typicalNanos() > ticket.urgency().objectiveAtNanos();
		if (late || (afterObjective && !isRoomForLate(usable)) || this.queues.size() >= rule.queueLimit()) {
			return new Refusal(ticket.id(), RefusalReason.OVERLOAD, retryAfter);
		}
		return null;
	}

	// While more arrives than can be answered in time, whoever comes late
	// would only wait to be refused. A few may wait: they are served when
	// the rush ends.
	boolean isRoomForLate(long usableSlots) {
		int late = this.queues.size() - this.queues.sizeUpTo(LATE_RANK - 1);
		return late < usableSlots * LATE_PER_SLOT;
	}

	long retryAfterMillis(RoutingRequest ticket, long waitMillis, long now) {
		long remainingMillis = (long) ((ticket.deadlineNanos() - now) / NANOS_PER_MILLI);
		return RetryAfter.delayMillis(waitMillis, remainingMillis, ticket.id());
	}

	// Requests that can no longer be answered in time come after all that can.
	int rank(RoutingRequest ticket, long now) {
		boolean late = now + typicalNanos() > ticket.urgency().objectiveAtNanos();
		return ticket.urgency().priority() + (late ? LATE_RANK : 0);
	}

	// A caller is held to its share only while requests of others could
	// wait behind it.
	private boolean exceedsShare(String caller, ServiceRule rule, long usableSlots) {
		boolean alone = this.queues.callers() <= 1 && this.queues.heldBy(caller) > 0;
		long share = (usableSlots + rule.queueLimit()) * rule.callerSharePercent() / 100;
		return !alone && this.queues.heldBy(caller) >= Math.max(MINIMUM_CALLER_SHARE, share);
	}

	// While a request can still be answered within its objective by an upstream
	// at the usual pace, one that would miss the objective is no choice.
	long latestUsefulEnd(RoutingRequest ticket, long now) {
		double fast = now + this.throughput.expectedWaitNanos(1) + typicalNanos();
		boolean worthWaiting = fast <= ticket.urgency().objectiveAtNanos();
		return worthWaiting ? Math.min(ticket.urgency().objectiveAtNanos(), ticket.deadlineNanos())
				: ticket.deadlineNanos();
	}

	// The time of an attempt at an upstream that is neither slowed down nor
	// crowded, with a margin for the spread of work.
	double typicalNanos() {
		double usual = this.throughput.serviceNanos();
		return Math.min(usual, SPREAD_FACTOR * this.crowding.typicalNanos(usual));
	}

	// Whether a request that waits at a place of the queue can not be served in
	// time any more.
	boolean isHopeless(RoutingRequest ticket, int position, long now) {
		double least = LEAST_SERVICE_SHARE * typicalNanos();
		return now + this.throughput.expectedWaitNanos(position) + least > ticket.deadlineNanos();
	}

	// When a caller should come back that is refused at a place of the queue.
	long retryAfterMillisAt(RoutingRequest ticket, int position, long now) {
		return retryAfterMillis(ticket, (long) (this.throughput.expectedWaitNanos(position) / NANOS_PER_MILLI), now);
	}

}
