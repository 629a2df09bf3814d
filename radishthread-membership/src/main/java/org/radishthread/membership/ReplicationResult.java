package org.radishthread.membership;

/**
 * How a replication of an upstream record ended.
 *
 * @param id the replication
 * @param held whether enough instances hold the record
 */
public record ReplicationResult(long id, boolean held) {
}
