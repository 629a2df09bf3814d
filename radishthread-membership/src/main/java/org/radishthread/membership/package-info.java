/**
 * Who is there: instances, announced upstreams with their leases, and the spreading of
 * changes and rule revisions among instances.
 */
@NullMarked
package org.radishthread.membership;

import org.jspecify.annotations.NullMarked;
