/**
 * Ports that speak HTTP.
 */
@NullMarked
package org.radishthread.daemon.http;

import org.jspecify.annotations.NullMarked;
