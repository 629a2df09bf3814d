package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.Snapshot;

/**
 * What a {@link Replica} wants done since the last time it was asked.
 */
final class ReplicaEffects {

	final List<LogFrame> frames = new ArrayList<>();

	final List<AgreementMessage> immediate = new ArrayList<>();

	final List<AgreementMessage> afterSync = new ArrayList<>();

	final List<LogEntry> committed = new ArrayList<>();

	final List<Long> confirmedReads = new ArrayList<>();

	@Nullable Snapshot installed;

	boolean rewriteLog;

	boolean leadershipLost;

}
