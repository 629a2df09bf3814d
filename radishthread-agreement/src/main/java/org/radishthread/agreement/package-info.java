/**
 * Replicated log of the control instances and the state machine that it drives: rules in
 * force and claims of requests that run at most once.
 */
@NullMarked
package org.radishthread.agreement;

import org.jspecify.annotations.NullMarked;
