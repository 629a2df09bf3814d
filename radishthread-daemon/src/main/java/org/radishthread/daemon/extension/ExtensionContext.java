package org.radishthread.daemon.extension;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.control.EvacuationOperations;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.settings.DaemonSettings;

/**
 * Gives an extension access to the settings and services of the daemon.
 *
 * @param settings the settings of the instance
 * @param cluster accepts announcements of upstreams
 * @param rules submits rules and reads the current ones
 * @param evacuations submits orders to evacuate availability zones
 * @param buffers limits the bodies that are held in memory
 */
public record ExtensionContext(DaemonSettings settings, ClusterService cluster, RuleOperations rules,
		EvacuationOperations evacuations, BufferBudget buffers) {
}
