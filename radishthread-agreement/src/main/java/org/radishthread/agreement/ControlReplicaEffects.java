package org.radishthread.agreement;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.RuleFile;

/**
 * Actions that a {@link ControlReplica} requires.
 *
 * @param logFrames frames to append to the log
 * @param logContent the complete new content of the log if it must be rewritten, or
 * {@code null}; it includes the frames
 * @param immediateMessages messages that do not depend on the writes
 * @param messagesAfterSync messages that must not be sent before the log writes are
 * durable
 * @param replies responses to requests
 * @param rulesToPublish the rule file that came into force, or {@code null}
 * @param evacuationsToPublish the evacuations that came into force, or {@code null}
 */
record ControlReplicaEffects(List<LogFrame> logFrames, @Nullable StoredLog logContent,
		List<AgreementMessage> immediateMessages, List<AgreementMessage> messagesAfterSync,
		List<ControlReplica.Reply> replies, @Nullable RuleFile rulesToPublish,
		@Nullable Evacuations evacuationsToPublish) {

	boolean isEmpty() {
		return this.logFrames.isEmpty() && this.logContent == null && this.immediateMessages.isEmpty()
				&& this.messagesAfterSync.isEmpty() && this.replies.isEmpty() && this.rulesToPublish == null
				&& this.evacuationsToPublish == null;
	}

}
