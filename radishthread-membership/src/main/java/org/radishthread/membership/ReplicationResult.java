package org.radishthread.membership;

/**
 * The result of replicating an upstream record.
 *
 * @param replicationId the id of the replication
 * @param successful whether enough instances store the record
 */
public record ReplicationResult(long replicationId, boolean successful) {
}
