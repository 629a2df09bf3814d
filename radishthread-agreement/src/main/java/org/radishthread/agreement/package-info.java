/**
 * Replicated log of the control instances (Raft), and the state machine that it drives:
 * the rules in force and the claims of once-only requests.
 */
@NullMarked
package org.radishthread.agreement;

import org.jspecify.annotations.NullMarked;
