/**
 * Stand-in upstreams, a stand-in for the network between gateways and upstreams, and a
 * load generator.
 */
@NullMarked
package org.radishthread.proof.standin;

import org.jspecify.annotations.NullMarked;
