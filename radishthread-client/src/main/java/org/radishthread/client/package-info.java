/**
 * Command-line client for the operators of the load balancer.
 */
@NullMarked
package org.radishthread.client;

import org.jspecify.annotations.NullMarked;
