/**
 * The interface for extensions that adapt the daemon to a platform.
 */
@NullMarked
package org.radishthread.daemon.extension;

import org.jspecify.annotations.NullMarked;
