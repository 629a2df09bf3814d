/**
 * Routing of requests to the upstreams of a service: admission, queues, choice of
 * upstream, retries, hedges, ejection and probes.
 */
@NullMarked
package org.radishthread.routing;

import org.jspecify.annotations.NullMarked;
