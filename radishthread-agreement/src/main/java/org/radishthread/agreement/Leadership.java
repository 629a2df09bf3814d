package org.radishthread.agreement;

/**
 * What a replica believes of the leadership of its group.
 *
 * @param role its own role
 * @param term the term
 * @param leaderId the identity of the leader, or zero while unknown
 */
public record Leadership(ReplicaRole role, long term, long leaderId) {
}
