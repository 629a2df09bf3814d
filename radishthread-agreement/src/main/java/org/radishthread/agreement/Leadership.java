package org.radishthread.agreement;

/**
 * Leadership of a group as known to one replica.
 *
 * @param role the role of this replica
 * @param term the current term of this replica
 * @param leaderId the id of the leader, or zero while unknown
 */
public record Leadership(ReplicaRole role, long term, long leaderId) {
}
