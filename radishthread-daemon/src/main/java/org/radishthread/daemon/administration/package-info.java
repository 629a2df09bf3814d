/**
 * The administration port, for operators, announcements of upstreams, health checks and
 * metrics.
 */
@NullMarked
package org.radishthread.daemon.administration;

import org.jspecify.annotations.NullMarked;
