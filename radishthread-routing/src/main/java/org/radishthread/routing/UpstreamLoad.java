package org.radishthread.routing;

/**
 * What a router has observed of one upstream.
 */
final class UpstreamLoad {

	private static final double LATENCY_WEIGHT = 0.2;

	private static final int SAMPLES_TO_TRUST = 3;

	private static final double BASE_PIPELINED_SHARE = 0.3;

	// Beside work that takes much longer than this, a slot that stands idle for the round
	// trip between two requests makes no difference.
	private static final double SHORT_WORK_NANOS = 40_000_000;

	private static final long EASING_NANOS = 2_000_000_000L;

	private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;

	private static final int MAXIMUM_EJECTION_DOUBLINGS = 5;

	private static final int SILENT_PACE_PROBES = 50;

	private static final long TRIAL_PAUSE_NANOS = 500_000_000L;

	private Upstream upstream;

	private long easedInSinceNanos;

	private int inFlight;

	private final PaceEstimate pace = new PaceEstimate();

	private final FailureEstimate failures = new FailureEstimate();

	// The time that an attempt takes at the usual pace.
	private double baseNanos;

	private double latencyNanos;

	private int samples;

	private int consecutiveFailures;

	private int ejections;

	private long ejectedUntilNanos = Long.MIN_VALUE;

	private boolean awaitsProbe;

	private long lastDispatchNanos = Long.MIN_VALUE / 2;

	private boolean removed;

	private long reportedNanos = Long.MIN_VALUE / 2;

	private long paceProbedNanos = Long.MIN_VALUE / 2;

	private int silentPaceProbes;

	UpstreamLoad(Upstream upstream, long easedInSinceNanos) {
		this.upstream = upstream;
		this.easedInSinceNanos = easedInSinceNanos;
	}

	Upstream upstream() {
		return this.upstream;
	}

	void update(Upstream announced, long now) {
		if (announced.incarnation() > this.upstream.incarnation()) {
			this.easedInSinceNanos = now;
			this.samples = 0;
			this.consecutiveFailures = 0;
			this.ejections = 0;
			this.ejectedUntilNanos = Long.MIN_VALUE;
			this.awaitsProbe = false;
		}
		this.upstream = announced;
		this.removed = false;
	}

	void remove() {
		this.removed = true;
	}

	boolean isForgettable() {
		return this.removed && this.inFlight == 0;
	}

	int inFlight() {
		return this.inFlight;
	}

	// The slots that may be used now: a new upstream is eased in.
	int usableSlots(long now) {
		long age = now - this.easedInSinceNanos;
		if (age >= EASING_NANOS) {
			return this.upstream.slots();
		}
		return (int) Math.max(1, this.upstream.slots() * age / EASING_NANOS);
	}

	boolean acceptsRequests() {
		return !this.removed && this.upstream.acceptsRequests();
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntilNanos || this.awaitsProbe;
	}

	boolean awaitsProbe() {
		return this.awaitsProbe;
	}

	boolean isProbeDue(long now) {
		return this.awaitsProbe && !this.removed && now >= this.ejectedUntilNanos;
	}

	// The next probe waits until this one has shown something.
	void probing(long now) {
		this.ejectedUntilNanos = now + FIRST_EJECTION_NANOS;
	}

	void recordConnectionProbe(boolean reachable, long now) {
		if (reachable) {
			this.awaitsProbe = false;
			this.ejectedUntilNanos = now;
		}
		else {
			eject(now);
		}
	}

	// After an ejection one request at a time finds out whether the upstream recovered.
	private boolean isOnTrial() {
		return this.ejections > 0;
	}

	boolean hasFreeSlot(long now) {
		if (!acceptsRequests() || isEjected(now)) {
			return false;
		}
		return this.inFlight < (isOnTrial() ? 1 : usableSlots(now));
	}

	boolean isCalm() {
		return this.inFlight < CrowdingEstimate.calmSlots(this.upstream.slots());
	}

	double paceFactor(long now) {
		return this.pace.factor(now);
	}

	// One more request may be on its way while the slots are busy, so that a slot does
	// not
	// stand idle for the time that an answer and the next request travel.
	boolean mayPipeline(long now, double waitingPerSlot, double usualNanos) {
		if (!acceptsRequests() || isEjected(now) || isOnTrial() || usableSlots(now) < this.upstream.slots()) {
			return false;
		}
		return this.inFlight < this.upstream.slots() + pipelinedRequests(waitingPerSlot, usualNanos);
	}

	// The longer the queue, the less is lost by waiting at an upstream instead. Where
	// work
	// takes much longer than the way, next to nothing is won: the request would be bound
	// to one upstream while others may come free.
	private int pipelinedRequests(double waitingPerSlot, double usualNanos) {
		double share = Math.min(1, BASE_PIPELINED_SHARE + waitingPerSlot);
		double idle = (usualNanos > SHORT_WORK_NANOS) ? SHORT_WORK_NANOS / usualNanos : 1;
		return (int) Math.ceil(this.upstream.slots() * share * idle - 0.5);
	}

	boolean isLatencyKnown() {
		return this.samples >= SAMPLES_TO_TRUST;
	}

	double latencyNanos() {
		return this.latencyNanos;
	}

	// The time that an attempt that begins now is expected to take, in nanoseconds.
	double expectedNanos(double usualNanos, CrowdingEstimate crowding, long now) {
		double base = isLatencyKnown() ? this.baseNanos : usualNanos;
		boolean crowded = this.inFlight + 1 > CrowdingEstimate.calmSlots(this.upstream.slots());
		double work = base * this.pace.factor(now) * (crowded ? crowding.factor() : 1);
		int ahead = Math.max(0, this.inFlight + 1 - this.upstream.slots());
		return (work + work * ahead / this.upstream.slots()) * this.failures.expectedAttempts(now);
	}

	void reported(LoadReport report, long now) {
		this.reportedNanos = now;
		this.pace.reported(report.pacePercent(), now);
	}

	// Returns whether nothing was heard of the pace for so long, and no probe is under
	// way.
	boolean isPaceProbeDue(long intervalNanos, long now) {
		return this.silentPaceProbes < SILENT_PACE_PROBES && now - this.reportedNanos >= intervalNanos
				&& now - this.paceProbedNanos >= intervalNanos;
	}

	void paceProbing(long now) {
		this.paceProbedNanos = now;
		this.silentPaceProbes++;
	}

	// An upstream that never tells its pace is not asked for ever.
	void recordPaceProbe(LoadReport report, long now) {
		this.silentPaceProbes = (report.pacePercent() > 0) ? 0 : this.silentPaceProbes;
		reported(report, now);
	}

	// An upstream that joined while others were at work would not be tried for long
	// otherwise.
	boolean isNewAndUntried() {
		return this.easedInSinceNanos > 0 && this.samples == 0 && this.inFlight == 0;
	}

	boolean isTrialDue(long now) {
		return now - this.lastDispatchNanos > TRIAL_PAUSE_NANOS;
	}

	void dispatched(long now) {
		this.inFlight++;
		this.lastDispatchNanos = now;
	}

	void finished(AttemptResult result, long latency, double paceAtStart, long now) {
		this.inFlight--;
		this.failures.finished(result, now);
		if (result == AttemptResult.SUCCESS) {
			this.consecutiveFailures = 0;
			this.ejections = 0;
			recordLatency(latency, paceAtStart);
		}
		else if (result == AttemptResult.CANCELLED) {
			// A cancelled attempt ran at least that long.
			recordLatency(Math.max(latency, (long) this.latencyNanos), paceAtStart);
		}
	}

	private void recordLatency(long latency, double paceAtStart) {
		double weight = (this.samples == 0) ? 1 : LATENCY_WEIGHT;
		this.baseNanos += weight * (latency / paceAtStart - this.baseNanos);
		this.latencyNanos += weight * (latency - this.latencyNanos);
		this.samples++;
	}

	// Follows finished for an attempt that counts against the upstream.
	void failed(AttemptResult result, long now, EjectionRule ejection) {
		this.consecutiveFailures++;
		boolean unreachable = result == AttemptResult.UNREACHABLE;
		boolean failing = this.consecutiveFailures >= ejection.afterFailures() || isOnTrial();
		if (unreachable || (failing && ejection.allowed())) {
			eject(now);
			this.awaitsProbe = ejection.probed();
		}
	}

	private void eject(long now) {
		int doublings = Math.min(this.ejections, MAXIMUM_EJECTION_DOUBLINGS);
		this.ejectedUntilNanos = now + (FIRST_EJECTION_NANOS << doublings);
		this.ejections++;
		this.consecutiveFailures = 0;
	}

	/**
	 * When an upstream that fails is taken out of use.
	 *
	 * @param afterFailures the failures in a row
	 * @param allowed whether enough others are in use; one that can not be reached is
	 * taken out in any case
	 * @param probed whether it is probed before it is used again
	 */
	record EjectionRule(int afterFailures, boolean allowed, boolean probed) {
	}

}
