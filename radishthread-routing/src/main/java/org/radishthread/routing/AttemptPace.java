package org.radishthread.routing;

/**
 * The pace of an upstream at the time at which an attempt began there: estimated from the
 * report before, then corrected by the first one that follows. Points in time are
 * monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class AttemptPace {

	// The time in which a request reaches its upstream. What an upstream reports before
	// does not show the pace at which it starts.
	private static final long TRANSFER_NANOS = 20_000_000;

	private final long dispatchedNanos;

	private final double estimate;

	// The weight of the report on which the estimate is based.
	private final double estimateWeight;

	private double corrected;

	AttemptPace(double estimate, double estimateWeight, long dispatchedNanos) {
		this.estimate = estimate;
		this.estimateWeight = estimateWeight;
		this.dispatchedNanos = dispatchedNanos;
		this.corrected = estimate;
	}

	boolean hasReachedUpstream(long nowNanos) {
		return nowNanos - this.dispatchedNanos >= TRANSFER_NANOS;
	}

	void correct(double reportedPace, double reportWeight) {
		this.corrected = (this.estimate * this.estimateWeight + reportedPace * reportWeight)
				/ (this.estimateWeight + reportWeight);
	}

	long dispatchedNanos() {
		return this.dispatchedNanos;
	}

	// What was expected when the upstream was chosen.
	double estimate() {
		return this.estimate;
	}

	int estimatePercent() {
		return (int) Math.round(PaceEstimate.USUAL_PACE_PERCENT * this.estimate);
	}

	double corrected() {
		return this.corrected;
	}

}
