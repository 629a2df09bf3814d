/**
 * Scripted scenarios with real processes.
 */
@NullMarked
package org.radishthread.proof.scenario;

import org.jspecify.annotations.NullMarked;
