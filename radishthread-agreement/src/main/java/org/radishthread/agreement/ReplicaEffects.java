package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.Snapshot;

/**
 * Collects the actions that a {@link Replica} requires since its effects were last
 * drained. Messages after sync must not be sent before the log writes are durable.
 */
final class ReplicaEffects {

	final List<LogFrame> logFrames = new ArrayList<>();

	final List<AgreementMessage> immediateMessages = new ArrayList<>();

	final List<AgreementMessage> messagesAfterSync = new ArrayList<>();

	final List<LogEntry> committedEntries = new ArrayList<>();

	final List<Long> confirmedReadTokens = new ArrayList<>();

	@Nullable Snapshot installedSnapshot;

	boolean logRewriteRequired;

	boolean leadershipLost;

}
