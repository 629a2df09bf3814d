package org.radishthread.daemon.cluster;

import java.util.List;

import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Receives changes that are propagated to all instances. A method that throws an
 * exception is called again with the same or a later value; until it returns, the
 * instance does not count as having applied the change.
 */
public interface ClusterListener {

	/**
	 * Called when the announced upstreams have changed.
	 * @param upstreams the announced upstreams, those that left included
	 */
	void upstreamsChanged(List<UpstreamRecord> upstreams);

	/**
	 * Called when rules were applied.
	 * @param rules the applied rules
	 */
	void rulesChanged(RuleFile rules);

	/**
	 * Called when evacuations of availability zones were applied.
	 * @param evacuations the applied evacuations
	 */
	default void evacuationsChanged(Evacuations evacuations) {
	}

}
