/**
 * The port for operators, announcements, health checks and metrics.
 */
@NullMarked
package org.radishthread.daemon.administration;

import org.jspecify.annotations.NullMarked;
