package org.radishthread.membership;

/**
 * The result of replicating an upstream record.
 *
 * @param replicationId the id of the replication
 * @param successful whether enough instances store the record
 * @param storedCount the number of members of the control group that store the record
 * @param memberCount the number of members that a majority is taken of
 */
public record ReplicationResult(long replicationId, boolean successful, int storedCount, int memberCount) {
}
