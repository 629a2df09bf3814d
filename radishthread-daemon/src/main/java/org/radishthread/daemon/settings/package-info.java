/**
 * The settings of the daemon: reading, validation and reloading.
 */
@NullMarked
package org.radishthread.daemon.settings;

import org.jspecify.annotations.NullMarked;
