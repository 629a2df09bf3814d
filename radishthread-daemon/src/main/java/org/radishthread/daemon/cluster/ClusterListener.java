package org.radishthread.daemon.cluster;

import java.util.List;

import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Learns of changes that all instances come to know.
 */
public interface ClusterListener {

	/**
	 * Takes the announced upstreams.
	 * @param upstreams all that have not left
	 */
	void upstreamsChanged(List<UpstreamRecord> upstreams);

	/**
	 * Takes the rules in force.
	 * @param rules the rules
	 */
	void rulesChanged(RuleFile rules);

}
