package org.radishthread.daemon.cluster;

/**
 * How many instances have applied a rule revision.
 *
 * @param appliedCount the number of live instances that have applied the revision or a
 * higher one
 * @param liveCount the number of live instances, with this one
 * @param instanceCount the number of all instances, lost ones included
 * @param instancesKnown whether the numbers cover all instances; one that has just
 * started has heard of few others
 */
public record RulePropagation(int appliedCount, int liveCount, int instanceCount, boolean instancesKnown) {

	/**
	 * Returns whether every live instance has applied the revision.
	 * @return whether all live instances are known to have applied it
	 */
	public boolean isAppliedByAllLive() {
		return this.instancesKnown && this.appliedCount >= this.liveCount;
	}

	/**
	 * Returns whether a majority of all instances has applied the revision. Two
	 * majorities overlap, so an instance that hears from a majority then hears from one
	 * that has applied it.
	 * @return whether a majority is known to have applied it
	 */
	public boolean isAppliedByMajority() {
		return this.instancesKnown && 2 * this.appliedCount > this.instanceCount;
	}

}
