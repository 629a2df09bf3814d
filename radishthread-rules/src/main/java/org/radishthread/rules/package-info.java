/**
 * Rule files: one rule per line, each with a comment that names who asked for it.
 */
@NullMarked
package org.radishthread.rules;

import org.jspecify.annotations.NullMarked;
