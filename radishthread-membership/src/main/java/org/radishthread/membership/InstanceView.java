package org.radishthread.membership;

import org.radishthread.protocol.InstanceRecord;

/**
 * The state of an instance as this instance knows it.
 *
 * @param instance the record of the instance
 * @param live whether a heartbeat of the instance arrived within the failure timeout
 * @param ruleRevision the rule revision that the instance has applied
 */
public record InstanceView(InstanceRecord instance, boolean live, long ruleRevision) {
}
