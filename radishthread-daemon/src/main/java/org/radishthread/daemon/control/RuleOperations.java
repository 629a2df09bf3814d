package org.radishthread.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.RulePropagation;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ReadRules;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RulesAnswer;
import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.SubmitRules;

/**
 * Submits rules to the control group and reads them back.
 */
public final class RuleOperations {

	private static final EventLog eventLog = EventLog.of(RuleOperations.class);

	private static final long ASK_MILLIS = 5_000;

	private static final long SPREAD_CHECK_MILLIS = 20;

	private final ClusterService cluster;

	private final ControlClient control;

	private final TimeSource time;

	private final long spreadNanos;

	/**
	 * Creates the operations.
	 * @param cluster tells how far rules have come
	 * @param control asks the control group
	 * @param time the clock
	 * @param spreadMillis how long a submission waits for live instances that do not
	 * route by the rules yet, in milliseconds
	 */
	public RuleOperations(ClusterService cluster, ControlClient control, TimeSource time, long spreadMillis) {
		this.cluster = cluster;
		this.control = control;
		this.time = time;
		this.spreadNanos = TimeUnit.MILLISECONDS.toNanos(spreadMillis);
	}

	/**
	 * Submits rules that were checked.
	 * @param rules the rules
	 * @return what became of them, or a failure with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<RuleSubmissionResult> submit(SubmitRules rules) {
		ControlRequest.Builder command = ControlRequest.newBuilder()
			.setCommand(Command.newBuilder().setSubmitRules(rules));
		return this.control.sendToLeader(command, ASK_MILLIS).thenCompose((response) -> submitted(response.getRules()));
	}

	private CompletableFuture<RuleSubmissionResult> submitted(RulesAnswer answer) {
		eventLog.information("rules-submitted")
			.with("revision", answer.getRevision())
			.with("verdict", answer.getVerdict())
			.with("by", answer.getSubmittedBy())
			.write();
		if (answer.getVerdict() != RulesVerdict.ACCEPTED) {
			return this.cluster.rulePropagation(answer.getRevision())
				.thenApply((spread) -> new RuleSubmissionResult(answer, spread));
		}
		return awaitSpread(answer.getRevision(), this.time.monotonicNanos() + this.spreadNanos)
			.thenApply((spread) -> new RuleSubmissionResult(answer, spread));
	}

	private CompletableFuture<RulePropagation> awaitSpread(long revision, long deadlineNanos) {
		return this.cluster.rulePropagation(revision).thenCompose((spread) -> {
			boolean inForce = spread.isAppliedByMajority() && spread.isAppliedByAllLive();
			if (inForce || this.time.monotonicNanos() > deadlineNanos) {
				return CompletableFuture.completedFuture(spread);
			}
			return CompletableFuture
				.supplyAsync(() -> revision,
						CompletableFuture.delayedExecutor(SPREAD_CHECK_MILLIS, TimeUnit.MILLISECONDS))
				.thenCompose((same) -> awaitSpread(same, deadlineNanos));
		});
	}

	/**
	 * Reads the rules from a quorum of the control group.
	 * @param timeoutMillis how long to wait, in milliseconds
	 * @return the newest rules, with revision zero if there are none, or a failure with a
	 * {@link ControlTimeoutException}
	 */
	public CompletableFuture<RuleFile> readLatest(long timeoutMillis) {
		return this.control
			.sendToLeader(ControlRequest.newBuilder().setReadRules(ReadRules.getDefaultInstance()), timeoutMillis)
			.thenApply(ControlResponse::getRuleFile);
	}

}
