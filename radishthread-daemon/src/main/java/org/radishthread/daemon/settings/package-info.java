/**
 * Checked settings of the daemon.
 */
@NullMarked
package org.radishthread.daemon.settings;

import org.jspecify.annotations.NullMarked;
