package org.radishthread.daemon.cluster;

import java.util.List;

import org.radishthread.membership.InstanceView;
import org.radishthread.membership.ServingState;
import org.radishthread.protocol.RuleFile;

/**
 * What this instance knew of the system at one moment.
 *
 * @param state whether it takes new work
 * @param madeAtMillis the monotonic time of the view, in milliseconds
 * @param instances all known instances
 * @param rules the rules applied here
 */
public record ClusterView(ServingState state, long madeAtMillis, List<InstanceView> instances, RuleFile rules) {

	/**
	 * The age at which a view is no longer trusted, in milliseconds.
	 */
	public static final long STALE_MILLIS = 2_000;

	/**
	 * Returns whether any rules are applied here.
	 * @return whether there is a revision
	 */
	public boolean hasRules() {
		return this.rules.getRevision() > 0;
	}

}
