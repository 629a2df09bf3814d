/**
 * Tests that span several modules.
 */
@NullMarked
package org.radishthread.proof;

import org.jspecify.annotations.NullMarked;
