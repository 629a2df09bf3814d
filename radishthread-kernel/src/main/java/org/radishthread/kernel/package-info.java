/**
 * Foundations of the daemon: lifecycle of services, settings, findings, event log, event
 * loop, clock and age of knowledge.
 */
@NullMarked
package org.radishthread.kernel;

import org.jspecify.annotations.NullMarked;
