/**
 * The daemon: its command line and the wiring of its services.
 */
@NullMarked
package org.radishthread.daemon;

import org.jspecify.annotations.NullMarked;
