/**
 * The control role and requests to the control group.
 */
@NullMarked
package org.radishthread.daemon.control;

import org.jspecify.annotations.NullMarked;
