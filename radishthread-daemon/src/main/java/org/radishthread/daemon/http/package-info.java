/**
 * The HTTP server for ports other than that for callers.
 */
@NullMarked
package org.radishthread.daemon.http;

import org.jspecify.annotations.NullMarked;
