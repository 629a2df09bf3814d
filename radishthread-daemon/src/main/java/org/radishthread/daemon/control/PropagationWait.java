package org.radishthread.daemon.control;

import java.util.concurrent.TimeUnit;

import org.radishthread.daemon.cluster.RulePropagation;

/**
 * Decides how long the acknowledgement of accepted rules waits for live instances that
 * have not applied them. The wait ends early enough that the acknowledgement reaches a
 * caller that asks another instance after a while, even if the acceptance took a part of
 * that time. Times are monotonic, in nanoseconds; only their differences have a meaning.
 *
 * @param startNanos when the wait starts
 * @param durationNanos the longest duration of the wait, zero or less for none
 */
record PropagationWait(long startNanos, long durationNanos) {

	/**
	 * Creates the wait for rules that were accepted just now.
	 * @param acceptedNanos the present time
	 * @param timeoutMillis how long to wait at most, in milliseconds
	 * @param acknowledgementNanos when the acknowledgement must be sent
	 * @return the wait
	 */
	static PropagationWait startedAt(long acceptedNanos, long timeoutMillis, long acknowledgementNanos) {
		return new PropagationWait(acceptedNanos,
				Math.min(TimeUnit.MILLISECONDS.toNanos(timeoutMillis), acknowledgementNanos - acceptedNanos));
	}

	/**
	 * Returns whether the acknowledgement is sent now.
	 * @param propagation the instances that have applied the rules
	 * @param nowNanos the present time
	 * @return whether the wait is over
	 */
	boolean isOver(RulePropagation propagation, long nowNanos) {
		boolean propagated = propagation.isAppliedByMajority() && propagation.isAppliedByAllLive();
		return propagated || remainingNanos(nowNanos) <= 0;
	}

	/**
	 * Returns the time until the propagation is looked at again.
	 * @param intervalMillis the longest time, in milliseconds
	 * @param nowNanos the present time
	 * @return the time, at most until the end of the wait, in nanoseconds
	 */
	long nextPollNanos(long intervalMillis, long nowNanos) {
		return Math.max(0, Math.min(TimeUnit.MILLISECONDS.toNanos(intervalMillis), remainingNanos(nowNanos)));
	}

	private long remainingNanos(long nowNanos) {
		return this.durationNanos - (nowNanos - this.startNanos);
	}

}
