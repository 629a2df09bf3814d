/**
 * The membership of this instance in the cluster.
 */
@NullMarked
package org.radishthread.daemon.cluster;

import org.jspecify.annotations.NullMarked;
