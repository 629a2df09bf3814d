/**
 * The operators' client.
 */
@NullMarked
package org.radishthread.client;

import org.jspecify.annotations.NullMarked;
