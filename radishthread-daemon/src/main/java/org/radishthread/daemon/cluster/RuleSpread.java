package org.radishthread.daemon.cluster;

/**
 * How far a rule revision has come.
 *
 * @param applied the number of instances that have applied it
 * @param live the number of instances heard of lately
 * @param instances the number of all instances
 */
public record RuleSpread(int applied, int live, int instances) {

	/**
	 * Returns whether every instance that was heard of lately has applied the revision.
	 * @return whether it is in force everywhere
	 */
	public boolean isEverywhere() {
		return this.applied >= this.live;
	}

	/**
	 * Returns whether an instance that hears of a majority must learn of the revision.
	 * @return whether a majority has applied it
	 */
	public boolean isMajority() {
		return 2 * this.applied > this.instances;
	}

}
