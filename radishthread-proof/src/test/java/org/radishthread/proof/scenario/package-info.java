/**
 * Scenario tests that run instances as real processes.
 */
@NullMarked
package org.radishthread.proof.scenario;

import org.jspecify.annotations.NullMarked;
