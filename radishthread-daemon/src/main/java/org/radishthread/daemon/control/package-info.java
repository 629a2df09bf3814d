/**
 * The control role of an instance, and the client of the control group.
 */
@NullMarked
package org.radishthread.daemon.control;

import org.jspecify.annotations.NullMarked;
