package org.radishthread.routing;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.CallerQueues.QueuedRequest;
import org.radishthread.routing.RoutingEffect.Refusal;
import org.radishthread.rules.ServiceRule;

/**
 * Decides, from the length of the queue and the expected service times, which requests
 * are refused on arrival, in which order the others are served and after what delay a
 * refused caller should try again. Points in time are monotonic, in nanoseconds.
 */
final class AdmissionControl {

	/**
	 * Added to the rank of a request that can no longer meet its objective, so that it is
	 * served after all requests that can.
	 */
	static final int LATE_RANK_OFFSET = 10_000_000;

	/**
	 * The mean delay suggested to a caller whose request failed and may not be sent
	 * again, in milliseconds.
	 */
	static final long NO_BUDGET_RETRY_AFTER_MILLIS = 100;

	/**
	 * The mean delay suggested to a caller while no upstream can be used, in
	 * milliseconds.
	 */
	static final long NO_UPSTREAM_RETRY_AFTER_MILLIS = 1_000;

	private static final int MINIMUM_CALLER_SHARE_REQUESTS = 2;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final double LATE_REQUESTS_PER_SLOT = 0.5;

	// A request that has less than this part of the typical service time left
	// until its deadline is not worth a slot.
	private static final double MINIMUM_SERVICE_TIME_SHARE = 0.5;

	// Nine of ten requests of a service take less than this multiple of their mean
	// duration without contention.
	private static final double SERVICE_TIME_SPREAD_FACTOR = 1.3;

	private final CallerQueues queues;

	private final ThroughputEstimate throughput;

	private final ContentionEstimate contention;

	private final WaitEstimate waits = new WaitEstimate();

	AdmissionControl(CallerQueues queues, ThroughputEstimate throughput, ContentionEstimate contention) {
		this.queues = queues;
		this.throughput = throughput;
		this.contention = contention;
	}

	@Nullable Refusal findRefusal(RoutingRequest request, ServiceRule rule, long usableSlots, long nowNanos) {
		if (usableSlots == 0) {
			return new Refusal(request.id(), RefusalReason.NO_UPSTREAM,
					retryAfterMillis(request, NO_UPSTREAM_RETRY_AFTER_MILLIS, nowNanos));
		}
		if (this.queues.size() == 0) {
			return null;
		}
		double waitNanos = correctedWaitNanos(request, nowNanos);
		long retryAfterMillis = retryAfterMillis(request, (long) (waitNanos / NANOS_PER_MILLI), nowNanos);
		if (exceedsCallerShare(request.queueName(), rule, usableSlots)) {
			return new Refusal(request.id(), RefusalReason.CALLER_LIMIT, retryAfterMillis);
		}
		boolean missesDeadline = nowNanos + waitNanos + typicalServiceNanos() > request.deadlineNanos()
				|| waitNanos > rule.queueTimeout().toNanos();
		boolean missesObjective = willMissObjective(request, waitNanos, nowNanos);
		if (missesDeadline || (missesObjective && !hasRoomForLateRequests(usableSlots))
				|| this.queues.size() >= rule.queueLimit()) {
			return new Refusal(request.id(), RefusalReason.OVERLOAD, retryAfterMillis);
		}
		return null;
	}

	private boolean willMissObjective(RoutingRequest request, double waitNanos, long nowNanos) {
		return nowNanos + waitNanos + typicalServiceNanos() > request.urgency().objectiveAtNanos();
	}

	// The rank at which a request is queued. One that would wait beyond its objective
	// leaves the slots to requests that can still meet theirs.
	int initialRank(RoutingRequest request, long nowNanos) {
		int rank = rank(request, nowNanos);
		double waitNanos = correctedWaitNanos(request, nowNanos);
		boolean late = rank < LATE_RANK_OFFSET && this.queues.size() > 0
				&& willMissObjective(request, waitNanos, nowNanos);
		return late ? rank + LATE_RANK_OFFSET : rank;
	}

	// The rank at which a queued request waits from now on. One that was queued as late
	// stays behind those that can be in time.
	int currentRank(QueuedRequest queued, long nowNanos) {
		return Math.max(queued.rank(), rank(queued.request(), nowNanos));
	}

	// The next turn of a workspace without queued requests is soon, whoever arrives
	// later.
	private double correctedWaitNanos(RoutingRequest request, long nowNanos) {
		double waitNanos = expectedWaitNanos(request, nowNanos);
		boolean nextTurn = !request.workspace().isEmpty() && !this.queues.hasQueued(request);
		return nextTurn ? waitNanos : this.waits.correct(waitNanos);
	}

	// By the position at which the request would be queued now.
	double expectedWaitNanos(RoutingRequest request, long nowNanos) {
		return this.throughput.expectedWaitNanos(this.queues.requestsAhead(request, rank(request, nowNanos)) + 1);
	}

	// A request that found the queue empty says nothing about waits.
	void recordWait(QueuedRequest queued, boolean served, long nowNanos) {
		boolean informative = queued.kind() == AttemptKind.FIRST && queued.rank() < LATE_RANK_OFFSET
				&& queued.expectedWaitNanos() > 0;
		long waitedNanos = nowNanos - queued.enqueuedNanos();
		if (informative && served) {
			this.waits.recordWait(queued.expectedWaitNanos(), waitedNanos);
		}
		else if (informative) {
			this.waits.recordMinimumWait(queued.expectedWaitNanos(), waitedNanos);
		}
	}

	// During overload, most requests that will miss their objective would only
	// wait until they are refused. A limited number may wait, to be served when
	// the load falls.
	boolean hasRoomForLateRequests(long usableSlots) {
		int lateRequests = this.queues.size() - this.queues.sizeUpTo(LATE_RANK_OFFSET - 1);
		return lateRequests < usableSlots * LATE_REQUESTS_PER_SLOT;
	}

	long retryAfterMillis(RoutingRequest request, long waitMillis, long nowNanos) {
		long remainingMillis = (long) ((request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
		return RetryAfter.delayMillis(waitMillis, remainingMillis, request.id());
	}

	// Requests that will miss their objective rank after all that can
	// still meet it.
	int rank(RoutingRequest request, long nowNanos) {
		boolean missesObjective = nowNanos + typicalServiceNanos() > request.urgency().objectiveAtNanos();
		return request.urgency().priority() + (missesObjective ? LATE_RANK_OFFSET : 0);
	}

	// The share applies only if another caller has open requests: a single caller
	// may use the whole service.
	private boolean exceedsCallerShare(String caller, ServiceRule rule, long usableSlots) {
		boolean onlyCaller = this.queues.callerCount() <= 1 && this.queues.openRequests(caller) > 0;
		long shareRequests = (usableSlots + rule.queueLimit()) * rule.callerSharePercent() / 100;
		return !onlyCaller
				&& this.queues.openRequests(caller) >= Math.max(MINIMUM_CALLER_SHARE_REQUESTS, shareRequests);
	}

	// If an upstream at the usual pace could still meet the objective of the
	// request, upstreams that would miss it are ruled out.
	long latestUsefulCompletionNanos(RoutingRequest request, long nowNanos) {
		double usualCompletionNanos = nowNanos + this.throughput.expectedWaitNanos(1) + typicalServiceNanos();
		boolean canMeetObjective = usualCompletionNanos <= request.urgency().objectiveAtNanos();
		return canMeetObjective ? Math.min(request.urgency().objectiveAtNanos(), request.deadlineNanos())
				: request.deadlineNanos();
	}

	// The duration of an attempt at an upstream at the usual pace and without
	// contention, with a margin for the spread of service times, but at most the
	// mean duration of all attempts.
	double typicalServiceNanos() {
		return Math.min(this.throughput.meanServiceNanos(), SERVICE_TIME_SPREAD_FACTOR * uncontendedServiceNanos());
	}

	// The mean duration of an attempt without contention at the usual pace, or zero
	// before any completed.
	double uncontendedServiceNanos() {
		return this.contention.uncontendedNanosOr(this.throughput.meanServiceNanos());
	}

	// Returns whether a request at this position of the queue can no longer be
	// served before its deadline.
	boolean willMissDeadline(RoutingRequest request, int position, long nowNanos) {
		double minimumServiceNanos = MINIMUM_SERVICE_TIME_SHARE * typicalServiceNanos();
		return nowNanos + this.throughput.expectedWaitNanos(position) + minimumServiceNanos > request.deadlineNanos();
	}

	// The delay suggested to a caller whose request is refused at this position
	// of the queue.
	long retryAfterMillisAtPosition(RoutingRequest request, int position, long nowNanos) {
		return retryAfterMillis(request, (long) (this.throughput.expectedWaitNanos(position) / NANOS_PER_MILLI),
				nowNanos);
	}

}
