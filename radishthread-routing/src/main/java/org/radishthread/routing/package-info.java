/**
 * Choice of upstream, limits, retries, hedges, ejection and the measuring budget.
 */
@NullMarked
package org.radishthread.routing;

import org.jspecify.annotations.NullMarked;
