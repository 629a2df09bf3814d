package org.radishthread.daemon.gateway;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A request of a caller with the means to respond to it.
 *
 * @param request the request
 * @param response the response to write to
 * @param callback the callback to complete when the response is written
 * @param arrivedNanos the monotonic time of its arrival, in nanoseconds, from which the
 * remaining time of the caller counts
 */
record ArrivedRequest(Request request, Response response, Callback callback, long arrivedNanos) {
}
