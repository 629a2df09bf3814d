package org.radishthread.membership;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.UpstreamRecord;

/**
 * The actions and changes that result from calls to {@link Membership}.
 *
 * @param messages the messages to send to peers
 * @param upstreams the announced upstreams, those that left included, or null if none of
 * them changed
 * @param upstreamsToStore the records to store on disk, or null if they did not change or
 * this instance has no store
 * @param rules the rules to apply, or null if none are newer than the former ones;
 * {@link Membership#recordRulesApplied} is to be called once they are applied
 * @param evacuations the evacuations of availability zones that were applied, or null if
 * none were
 * @param replicationResults the results of the replications that completed
 * @param resumedFromFreeze whether this process was suspended, so that open peer
 * connections may carry outdated messages and must be closed
 * @param silentInstances the control instances that did not respond in time
 * @param suspectAddresses the peer addresses of instances to which open connections may
 * lose messages, so that they must be opened anew before the messages are sent
 * @param roundPending whether changes wait to be sent by a later call
 */
public record MembershipEffects(List<OutgoingMessage> messages, @Nullable List<UpstreamRecord> upstreams,
		@Nullable UpstreamSnapshot upstreamsToStore, @Nullable RuleFile rules, @Nullable Evacuations evacuations,
		List<ReplicationResult> replicationResults, boolean resumedFromFreeze, List<SilentInstance> silentInstances,
		Set<String> suspectAddresses, boolean roundPending) {
}
