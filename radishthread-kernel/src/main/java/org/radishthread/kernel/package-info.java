/**
 * Foundations of the daemon: lifecycle of services, settings, findings, event log, event
 * loop and clock.
 */
@NullMarked
package org.radishthread.kernel;

import org.jspecify.annotations.NullMarked;
