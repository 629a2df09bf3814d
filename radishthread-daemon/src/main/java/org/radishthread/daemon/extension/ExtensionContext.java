package org.radishthread.daemon.extension;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.settings.DaemonSettings;

/**
 * What an extension may use.
 *
 * @param settings the settings of the instance
 * @param cluster takes announcements of upstreams
 * @param rules submits rules and reads them back
 */
public record ExtensionContext(DaemonSettings settings, ClusterService cluster, RuleOperations rules) {
}
