/**
 * The path of a request from its caller to an upstream and back.
 */
@NullMarked
package org.radishthread.daemon.gateway;

import org.jspecify.annotations.NullMarked;
