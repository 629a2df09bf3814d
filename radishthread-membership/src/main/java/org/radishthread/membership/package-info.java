/**
 * Membership of the cluster: instances, announced upstreams with their leases, and the
 * propagation of changes and rule revisions among instances by gossip.
 */
@NullMarked
package org.radishthread.membership;

import org.jspecify.annotations.NullMarked;
