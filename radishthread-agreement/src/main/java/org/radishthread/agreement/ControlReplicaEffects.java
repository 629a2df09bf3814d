package org.radishthread.agreement;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.RuleFile;

/**
 * What a {@link ControlReplica} wants done.
 *
 * @param frames frames to append to the log
 * @param content the whole content of the log if it is to be rewritten; it includes the
 * frames
 * @param immediate messages that do not depend on the writes
 * @param afterSync messages that may leave only when the writes are durable
 * @param replies answers to requests
 * @param appliedRules the rules newly in force, if any
 */
record ControlReplicaEffects(List<LogFrame> frames, @Nullable StoredLog content, List<AgreementMessage> immediate,
		List<AgreementMessage> afterSync, List<ControlReplica.Reply> replies, @Nullable RuleFile appliedRules) {

	boolean isEmpty() {
		return this.frames.isEmpty() && this.content == null && this.immediate.isEmpty() && this.afterSync.isEmpty()
				&& this.replies.isEmpty() && this.appliedRules == null;
	}

}
