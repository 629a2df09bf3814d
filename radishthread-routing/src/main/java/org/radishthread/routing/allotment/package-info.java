/**
 * Allotments of workspaces: one instance for each workspace lends tokens to the instances
 * that admit its requests.
 */
@NullMarked
package org.radishthread.routing.allotment;

import org.jspecify.annotations.NullMarked;
