package org.radishthread.membership;

import org.radishthread.protocol.InstanceRecord;

/**
 * What is known of an instance.
 *
 * @param instance its record
 * @param live whether it was heard of lately
 * @param ruleRevision the rule revision that it has applied
 */
public record InstanceView(InstanceRecord instance, boolean live, long ruleRevision) {
}
