package org.radishthread.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.radishthread.routing.SelectionContext.OverrunUse;

/**
 * Tracks one upstream of a service: its attempts in flight, latency, pace, failures and
 * ejection. Points in time are monotonic, in nanoseconds.
 */
final class UpstreamTracker {

	private static final double LATENCY_SAMPLE_WEIGHT = 0.2;

	private static final int REQUIRED_SAMPLES = 3;

	// The attempts beyond the slots that may wait at the upstream while no
	// request is queued, as a share of the slots.
	private static final double MINIMUM_PIPELINED_SHARE = 0.3;

	// For requests that take much longer than this, it makes no difference that a
	// slot is idle for the round trip between two requests.
	private static final double SHORT_SERVICE_NANOS = 40_000_000;

	private static final long SLOW_START_NANOS = 2_000_000_000L;

	private static final long BASE_EJECTION_NANOS = 1_000_000_000L;

	private static final int MAXIMUM_EJECTION_DOUBLINGS = 5;

	// An instance that knows of the announcement repeats it with each slot that it is
	// granted. A report about an earlier incarnation has no effect for longer than this.
	private static final long LEAVING_PERIOD_NANOS = 5_000_000_000L;

	// Half of the minimum, so that differences of times do not overflow.
	private static final long NEVER = Long.MIN_VALUE / 2;

	// After as many successive probes without a reported pace, an upstream that reports
	// none or does not respond is probed at the longer interval.
	private static final int MAXIMUM_PACE_PROBES_WITHOUT_REPORT = 50;

	private static final long UNREPORTED_PACE_PROBE_INTERVAL_NANOS = 5_000_000_000L;

	private static final long STRAGGLER_TRIAL_INTERVAL_NANOS = 500_000_000L;

	// An older load report does not show whether the upstream is full.
	private static final long FULL_REPORT_NANOS = 500_000_000L;

	private static final long BASE_BACK_OFF_NANOS = 200_000_000L;

	private static final int MAXIMUM_BACK_OFF_DOUBLINGS = 3;

	private Upstream upstream;

	private long slowStartBeginNanos;

	private int inFlight;

	private final PaceEstimate pace = new PaceEstimate();

	private final FailureEstimate failures = new FailureEstimate();

	// The mean duration of a completed attempt, converted to the usual pace.
	private double normalizedServiceNanos;

	private final OverrunEstimate overrun = new OverrunEstimate();

	private double meanLatencyNanos;

	private int latencySamples;

	private boolean tried;

	private int consecutiveFailures;

	private int ejections;

	private long ejectedUntilNanos = Long.MIN_VALUE;

	private boolean awaitsConnectionProbe;

	private long lastDispatchNanos = Long.MIN_VALUE / 2;

	private boolean removed;

	// Whether operators evacuate the availability zone of the upstream.
	private boolean evacuated;

	// Whether the upstream is kept free for a request that runs alone.
	private boolean reserved;

	private long lastReportNanos = Long.MIN_VALUE / 2;

	private long lastPaceProbeNanos = Long.MIN_VALUE / 2;

	private int paceProbesWithoutReport;

	private long leavingUntilNanos = NEVER;

	// The announcement by which another instance knows that the upstream leaves.
	private AnnouncementVersion departure = AnnouncementVersion.NONE;

	private final UpstreamRateLimit rateLimit = new UpstreamRateLimit();

	// The time of the latest load report if it shows that requests wait.
	private long reportedFullNanos = NEVER;

	private long backOffUntilNanos = NEVER;

	private int backOffs;

	private final ColdStartLimit coldLimit = new ColdStartLimit();

	// Keyed by the origin of the requests that the upstream refuses.
	private final Map<String, Long> refusedUntilNanos = new HashMap<>();

	UpstreamTracker(Upstream upstream, long slowStartBeginNanos) {
		this.upstream = upstream;
		this.slowStartBeginNanos = slowStartBeginNanos;
	}

	Upstream upstream() {
		return this.upstream;
	}

	void update(Upstream announcedUpstream, long nowNanos) {
		if (announcedUpstream.incarnation() > this.upstream.incarnation()) {
			this.slowStartBeginNanos = nowNanos;
			this.latencySamples = 0;
			this.overrun.reset();
			this.tried = false;
			this.paceProbesWithoutReport = 0;
			this.consecutiveFailures = 0;
			this.ejections = 0;
			this.ejectedUntilNanos = Long.MIN_VALUE;
			this.awaitsConnectionProbe = false;
			this.leavingUntilNanos = NEVER;
			this.refusedUntilNanos.clear();
			this.rateLimit.clear();
		}
		if (isSuperseded(this.departure, announcedUpstream)) {
			this.leavingUntilNanos = NEVER;
			this.departure = AnnouncementVersion.NONE;
		}
		this.upstream = announcedUpstream;
		this.removed = false;
	}

	private static boolean isSuperseded(AnnouncementVersion departure, Upstream announcedUpstream) {
		return !departure.equals(AnnouncementVersion.NONE) && !departure.isNewerThan(announcedUpstream.version());
	}

	void markRemoved() {
		this.removed = true;
	}

	boolean isDiscardable() {
		return this.removed && this.inFlight == 0;
	}

	int inFlight() {
		return this.inFlight;
	}

	// The number of slots that may be used at this time; it grows during slow start. A
	// service with a rate for cold upstreams has no slow start.
	int usableSlots(long nowNanos) {
		long ageNanos = nowNanos - this.slowStartBeginNanos;
		if (ageNanos >= SLOW_START_NANOS || this.coldLimit.isConfigured()) {
			return this.upstream.slots();
		}
		return (int) Math.max(1, this.upstream.slots() * ageNanos / SLOW_START_NANOS);
	}

	boolean acceptsRequests() {
		return !this.evacuated && wouldAcceptRequests();
	}

	// Whether it accepts requests unless its zone is evacuated.
	boolean wouldAcceptRequests() {
		return !this.removed && this.upstream.acceptsRequests();
	}

	void setEvacuated(boolean evacuated) {
		this.evacuated = evacuated;
	}

	// Whether the upstream has told the instance of the origin to send no requests now.
	boolean refuses(String origin, long nowNanos) {
		return nowNanos < refusedUntilNanos(origin);
	}

	long refusedUntilNanos(String origin) {
		return Math.max(this.leavingUntilNanos, this.refusedUntilNanos.getOrDefault(origin, NEVER));
	}

	boolean isEjected(long nowNanos) {
		return nowNanos < this.ejectedUntilNanos || this.awaitsConnectionProbe;
	}

	boolean awaitsConnectionProbe() {
		return this.awaitsConnectionProbe;
	}

	boolean isConnectionProbeDue(long nowNanos) {
		return this.awaitsConnectionProbe && !this.removed && nowNanos >= this.ejectedUntilNanos;
	}

	// Delays the next probe, so that this one can complete first.
	void recordConnectionProbeSent(long nowNanos) {
		this.ejectedUntilNanos = nowNanos + BASE_EJECTION_NANOS;
	}

	// Ends an ejection that was founded on failures of paths.
	void endEjection() {
		this.ejections = 0;
		this.ejectedUntilNanos = NEVER;
		this.awaitsConnectionProbe = false;
	}

	void recordConnectionProbe(boolean reachable, long nowNanos) {
		if (reachable) {
			this.awaitsConnectionProbe = false;
			this.ejectedUntilNanos = nowNanos;
		}
		else {
			eject(nowNanos);
		}
	}

	// After an ejection, only one request at a time is sent until one succeeds.
	private boolean isOnTrial() {
		return this.ejections > 0;
	}

	boolean hasFreeSlot(long nowNanos) {
		if (this.reserved || !isAvailable(nowNanos)) {
			return false;
		}
		return this.inFlight < (isOnTrial() ? 1 : usableSlots(nowNanos));
	}

	private boolean isAvailable(long nowNanos) {
		return acceptsRequests() && !isEjected(nowNanos) && this.rateLimit.allows(nowNanos)
				&& this.coldLimit.allows(nowNanos) && nowNanos >= this.backOffUntilNanos;
	}

	// Whether the upstream may have no room for the latest attempt, by the attempts in
	// flight or by its load report.
	boolean isFull(long nowNanos) {
		return this.inFlight > this.upstream.slots() || nowNanos - this.reportedFullNanos < FULL_REPORT_NANOS;
	}

	// Sends no new requests for a short time, because the upstream had no room. Returns
	// the time.
	long backOff(long nowNanos) {
		if (nowNanos >= this.backOffUntilNanos) {
			this.backOffUntilNanos = nowNanos
					+ (BASE_BACK_OFF_NANOS << Math.min(this.backOffs, MAXIMUM_BACK_OFF_DOUBLINGS));
			this.backOffs++;
		}
		return this.backOffUntilNanos - nowNanos;
	}

	boolean isReserved() {
		return this.reserved;
	}

	void setReserved(boolean reserved) {
		this.reserved = reserved;
	}

	// Whether a request can run alone here, also if the upstream is reserved for it.
	boolean isIdle(long nowNanos) {
		return this.inFlight == 0 && isAvailable(nowNanos);
	}

	boolean isUncontended() {
		return this.inFlight < ContentionEstimate.uncontendedSlots(this.upstream.slots());
	}

	// Whether its pace is worse than the given one, and is expected to improve soon.
	boolean isTransientlySlow(double pace, long nowNanos) {
		return this.pace.isTransientlyAbove(pace, nowNanos);
	}

	double paceFactor(long nowNanos) {
		return this.pace.currentPace(nowNanos);
	}

	// Allows some requests beyond the slots to wait at the upstream, so that a
	// slot is not idle while a response and the next request are transferred.
	boolean mayPipeline(long nowNanos, double queuedPerSlot, double defaultServiceNanos) {
		if (this.reserved || !isAvailable(nowNanos) || isOnTrial() || isCold(nowNanos)
				|| usableSlots(nowNanos) < this.upstream.slots()) {
			return false;
		}
		return this.inFlight < this.upstream.slots() + pipelineLimit(queuedPerSlot, defaultServiceNanos);
	}

	// The longer the queue, the less it matters that a request waits at one
	// upstream instead. If requests take much longer than their transfer, waiting
	// there saves almost nothing, but ties the request to this upstream while
	// others may have free slots.
	private int pipelineLimit(double queuedPerSlot, double defaultServiceNanos) {
		double pipelinedShare = Math.min(1, MINIMUM_PIPELINED_SHARE + queuedPerSlot);
		double idleFactor = (defaultServiceNanos > SHORT_SERVICE_NANOS) ? SHORT_SERVICE_NANOS / defaultServiceNanos : 1;
		return (int) Math.ceil(this.upstream.slots() * pipelinedShare * idleFactor - 0.5);
	}

	boolean isLatencyKnown() {
		return this.latencySamples >= REQUIRED_SAMPLES;
	}

	double meanLatencyNanos() {
		return this.meanLatencyNanos;
	}

	// The expected time until a request that is sent now has completed, including
	// waiting at the upstream and repeated attempts after failures.
	double expectedDurationNanos(double defaultServiceNanos, ContentionEstimate contention, OverrunUse overrunUse,
			long nowNanos) {
		boolean contended = this.inFlight + 1 > ContentionEstimate.uncontendedSlots(this.upstream.slots());
		double durationNanos = paceDurationNanos(defaultServiceNanos, overrunUse, nowNanos)
				* (contended ? contention.slowdownFactor() : 1);
		int requestsAhead = Math.max(0, this.inFlight + 1 - this.upstream.slots());
		return (durationNanos + durationNanos * requestsAhead / this.upstream.slots())
				* this.failures.expectedAttempts(nowNanos);
	}

	// The expected duration of a request that need not wait.
	double idleDurationNanos(double defaultServiceNanos, OverrunUse overrunUse, long nowNanos) {
		return paceDurationNanos(defaultServiceNanos, overrunUse, nowNanos) * this.failures.expectedAttempts(nowNanos);
	}

	// Whether cancelled attempts more than double the expected duration.
	boolean isOverrun(long nowNanos) {
		return this.overrun.overrunNanos(nowNanos) > this.normalizedServiceNanos;
	}

	private double paceDurationNanos(double defaultServiceNanos, OverrunUse overrunUse, long nowNanos) {
		double serviceNanos = isLatencyKnown() ? this.normalizedServiceNanos : defaultServiceNanos;
		return (serviceNanos + overrunUse.nanos(this.overrun, nowNanos)) * this.pace.currentPace(nowNanos);
	}

	void recordReport(LoadReport report, String origin, long nowNanos) {
		this.paceProbesWithoutReport = (report.pacePercent() > 0) ? 0 : this.paceProbesWithoutReport;
		recordLeaving(report, nowNanos);
		if (report.refusedMillis() > 0) {
			this.refusedUntilNanos.put(origin, nowNanos + Duration.ofMillis(report.refusedMillis()).toNanos());
		}
		if (report.isLimited()) {
			this.rateLimit.set(report.limitPerSecond(), nowNanos);
		}
		if (report.hasLoad()) {
			this.lastReportNanos = nowNanos;
			this.reportedFullNanos = (report.waitingRequests() > 0) ? nowNanos : NEVER;
			this.pace.recordReport(report.pacePercent(), nowNanos);
		}
	}

	// An instance that returns a grant may know less than this one by now.
	private void recordLeaving(LoadReport report, long nowNanos) {
		if (!report.leaving() || isSuperseded(report.departure(), this.upstream)) {
			return;
		}
		this.leavingUntilNanos = nowNanos + LEAVING_PERIOD_NANOS;
		this.departure = report.departure();
	}

	// Returns whether both the latest load report and the latest pace probe are older
	// than the interval.
	boolean isPaceProbeDue(long intervalNanos, long nowNanos) {
		boolean unreported = this.paceProbesWithoutReport >= MAXIMUM_PACE_PROBES_WITHOUT_REPORT;
		long probeIntervalNanos = unreported ? Math.max(intervalNanos, UNREPORTED_PACE_PROBE_INTERVAL_NANOS)
				: intervalNanos;
		return nowNanos - this.lastReportNanos >= intervalNanos
				&& nowNanos - this.lastPaceProbeNanos >= probeIntervalNanos;
	}

	void recordPaceProbeSent(long nowNanos) {
		this.lastPaceProbeNanos = nowNanos;
		this.paceProbesWithoutReport++;
	}

	// A new upstream without measurements must be preferred once: otherwise it
	// might not be chosen for a long time.
	boolean isNewAndUntried() {
		return this.slowStartBeginNanos > 0 && !this.tried && this.inFlight == 0;
	}

	boolean isStragglerTrialDue(long nowNanos) {
		return nowNanos - this.lastDispatchNanos > STRAGGLER_TRIAL_INTERVAL_NANOS;
	}

	UpstreamRateLimit rateLimit() {
		return this.rateLimit;
	}

	ColdStartLimit coldLimit() {
		return this.coldLimit;
	}

	// Whether the upstream is cold and its service has a rate for that.
	boolean isCold(long nowNanos) {
		return this.coldLimit.isActive(nowNanos);
	}

	// Whether requests are counted against a limit, so that only the home may send them.
	boolean isLimited(long nowNanos) {
		return this.rateLimit.isActive() || isCold(nowNanos);
	}

	// The earliest time at which the number of further requests has been allowed.
	long allowedAtNanos(int requests, long nowNanos) {
		return Math.max(this.rateLimit.allowedAtNanos(requests, nowNanos),
				this.coldLimit.allowedAtNanos(requests, nowNanos));
	}

	// Returns the pace at which the attempt begins.
	AttemptPace recordDispatch(long nowNanos) {
		this.inFlight++;
		this.rateLimit.recordDispatch(nowNanos);
		this.coldLimit.recordDispatch(nowNanos);
		this.lastDispatchNanos = nowNanos;
		return this.pace.startAttempt(nowNanos);
	}

	void recordCompletion(AttemptResult result, long latencyNanos, double paceAtStart, long nowNanos) {
		this.inFlight--;
		this.failures.recordResult(result, nowNanos);
		if (result == AttemptResult.SUCCESS) {
			this.consecutiveFailures = 0;
			this.ejections = 0;
			this.backOffs = 0;
			if (!isCold(nowNanos)) {
				// Durations of a cold upstream do not hold once it is warm.
				recordLatency(latencyNanos, paceAtStart);
				this.overrun.recordSuccess(nowNanos);
				this.tried = true;
			}
		}
		else if (result == AttemptResult.CANCELLED) {
			this.overrun.recordCancellation(latencyNanos / paceAtStart - this.normalizedServiceNanos, nowNanos);
			this.tried = true;
		}
	}

	// The attempt was not made, or its duration says nothing about the upstream.
	void recordWithoutLatency() {
		this.inFlight--;
	}

	private void recordLatency(long latencyNanos, double paceAtStart) {
		double sampleWeight = (this.latencySamples == 0) ? 1 : LATENCY_SAMPLE_WEIGHT;
		this.normalizedServiceNanos += sampleWeight * (latencyNanos / paceAtStart - this.normalizedServiceNanos);
		this.meanLatencyNanos += sampleWeight * (latencyNanos - this.meanLatencyNanos);
		this.latencySamples++;
	}

	// Called after recordCompletion if the result counts against the upstream. Attempts
	// that end while it is ejected were sent before, and do not prolong the ejection.
	void recordFailure(AttemptResult result, long nowNanos, EjectionRule ejectionRule) {
		if (isEjected(nowNanos)) {
			return;
		}
		this.consecutiveFailures++;
		boolean unreachable = result == AttemptResult.UNREACHABLE;
		boolean failing = this.consecutiveFailures >= ejectionRule.failureThreshold() || isOnTrial();
		if (unreachable || (failing && ejectionRule.allowed())) {
			eject(nowNanos);
			this.awaitsConnectionProbe = ejectionRule.probeRequired();
		}
	}

	private void eject(long nowNanos) {
		int doublings = Math.min(this.ejections, MAXIMUM_EJECTION_DOUBLINGS);
		this.ejectedUntilNanos = nowNanos + (BASE_EJECTION_NANOS << doublings);
		this.ejections++;
		this.consecutiveFailures = 0;
	}

	/**
	 * The conditions under which a failing upstream is ejected.
	 *
	 * @param failureThreshold the number of consecutive failures that lead to ejection
	 * @param allowed whether enough other upstreams are in use; an unreachable upstream
	 * is ejected in any case
	 * @param probeRequired whether a connection probe must succeed before the upstream is
	 * used again
	 */
	record EjectionRule(int failureThreshold, boolean allowed, boolean probeRequired) {
	}

}
