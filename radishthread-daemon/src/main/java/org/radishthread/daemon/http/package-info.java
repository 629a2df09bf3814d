/**
 * The HTTP server for operators, upstreams and health checks.
 */
@NullMarked
package org.radishthread.daemon.http;

import org.jspecify.annotations.NullMarked;
