/**
 * What an extension for a platform builds on.
 */
@NullMarked
package org.radishthread.daemon.extension;

import org.jspecify.annotations.NullMarked;
