package org.radishthread.membership;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;

/**
 * What {@link Membership} wants done.
 *
 * @param outgoing messages to peers
 * @param upstreams the upstreams that have not left, if they changed
 * @param rules the rules newly in force, if any
 * @param replications the replications that ended
 * @param woke whether this process was frozen, so that open peer connections may carry
 * old messages and are to be closed
 */
public record MembershipEffects(List<Outgoing> outgoing, @Nullable List<UpstreamRecord> upstreams,
		@Nullable RuleFile rules, List<ReplicationResult> replications, boolean woke) {
}
