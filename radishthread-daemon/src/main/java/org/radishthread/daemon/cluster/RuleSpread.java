package org.radishthread.daemon.cluster;

/**
 * How far a rule revision has come.
 *
 * @param applied the number of instances that have applied it
 * @param instances the number of all instances
 */
public record RuleSpread(int applied, int instances) {

	/**
	 * Returns whether an instance that hears of a majority must learn of the revision.
	 * @return whether a majority has applied it
	 */
	public boolean isMajority() {
		return 2 * this.applied > this.instances;
	}

}
