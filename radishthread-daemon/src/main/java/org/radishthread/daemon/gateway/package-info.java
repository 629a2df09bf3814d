/**
 * HTTP gateway between callers and upstreams: forwarding of requests and responses, and
 * the assignment of upstream slots.
 */
@NullMarked
package org.radishthread.daemon.gateway;

import org.jspecify.annotations.NullMarked;
