/**
 * Stand-ins for upstreams and for what lies between them and the gateways.
 */
@NullMarked
package org.radishthread.proof.standin;

import org.jspecify.annotations.NullMarked;
