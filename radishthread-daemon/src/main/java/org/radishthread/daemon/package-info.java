/**
 * The command line of the daemon, the wiring of its services and its log output.
 */
@NullMarked
package org.radishthread.daemon;

import org.jspecify.annotations.NullMarked;
