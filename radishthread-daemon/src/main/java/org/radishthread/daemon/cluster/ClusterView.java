package org.radishthread.daemon.cluster;

import java.util.List;

import org.radishthread.kernel.Freshness;
import org.radishthread.membership.InstanceView;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.protocol.RuleFile;

/**
 * A snapshot of the cluster as this instance knows it.
 *
 * @param state whether this instance accepts new requests
 * @param createdAtMillis the monotonic time of the snapshot, in milliseconds
 * @param instances all known instances, this one included
 * @param rules the rules that this instance applies
 * @param rulesConfirmed whether the rules were confirmed to be in force since this
 * process started or resumed from a freeze
 * @param rulesCurrentAtMillis the latest monotonic time as of which the rules are known
 * to be the newest accepted ones, in milliseconds, very low if it is not known
 */
public record ClusterView(ServingState state, long createdAtMillis, List<InstanceView> instances, RuleFile rules,
		boolean rulesConfirmed, long rulesCurrentAtMillis) {

	/**
	 * The age above which a view is outdated, in milliseconds.
	 */
	public static final long MAXIMUM_AGE_MILLIS = 2_000;

	/**
	 * Returns whether this instance applies every revision that must be in force by now.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @param rulesApplyMillis the time after their acceptance within which rules must be
	 * in force, in milliseconds
	 * @return whether the rules were current at most that long ago
	 */
	public boolean hasAllRulesInForce(long nowMillis, long rulesApplyMillis) {
		return hasRules() && nowMillis - this.rulesCurrentAtMillis <= rulesApplyMillis;
	}

	/**
	 * Returns the time since the rules of a revision were last known to be the newest
	 * accepted ones.
	 * @param revision the revision by which requests are routed
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the time, in milliseconds, very high if that is not known or a newer
	 * revision was accepted
	 */
	public long rulesAgeMillis(long revision, long nowMillis) {
		long currentAtMillis = (revision < this.rules.getRevision()) ? Freshness.UNKNOWN : this.rulesCurrentAtMillis;
		return nowMillis - currentAtMillis;
	}

	/**
	 * Returns whether all control instances apply orders to evacuate zones. A replica of
	 * an earlier version skips them, so that its state would differ from the others'.
	 * @return whether no known control instance runs an earlier version
	 */
	public boolean canOrderEvacuations() {
		return this.instances.stream()
			.map(InstanceView::instance)
			.filter((instance) -> instance.getControl() && !instance.getLeaving())
			.allMatch(InstanceRecord::getEvacuations);
	}

	/**
	 * Returns whether this instance applies any rules.
	 * @return whether the revision is greater than zero
	 */
	public boolean hasRules() {
		return this.rules.getRevision() > 0;
	}

}
