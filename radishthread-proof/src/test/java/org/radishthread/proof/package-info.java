/**
 * Proofs that need more than one module.
 */
@NullMarked
package org.radishthread.proof;

import org.jspecify.annotations.NullMarked;
