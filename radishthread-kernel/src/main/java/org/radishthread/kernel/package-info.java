/**
 * Micro-kernel of the daemon: named services, settings, findings, event log and clock.
 */
@NullMarked
package org.radishthread.kernel;

import org.jspecify.annotations.NullMarked;
