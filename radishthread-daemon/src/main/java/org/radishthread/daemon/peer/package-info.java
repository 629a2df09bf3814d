/**
 * Transport of messages between instances.
 */
@NullMarked
package org.radishthread.daemon.peer;

import org.jspecify.annotations.NullMarked;
