/**
 * Membership of this instance in the system.
 */
@NullMarked
package org.radishthread.daemon.cluster;

import org.jspecify.annotations.NullMarked;
