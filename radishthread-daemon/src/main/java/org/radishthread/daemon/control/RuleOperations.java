package org.radishthread.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.RulePropagation;
import org.radishthread.kernel.Compression;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ReadRules;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.RulePart;
import org.radishthread.protocol.RulesAnswer;
import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.SubmitRules;

/**
 * Submits rules to the control group and reads the current ones. It is safe for use by
 * several threads.
 */
public final class RuleOperations {

	private static final EventLog eventLog = EventLog.of(RuleOperations.class);

	private static final long SUBMIT_TIMEOUT_MILLIS = 5_000;

	private static final long PROPAGATION_POLL_MILLIS = 20;

	// Far above the size that operators may submit, to bound the memory used for damaged
	// responses.
	private static final int MAXIMUM_DOCUMENT_BYTES = 16 * 1024 * 1024;

	private final ClusterService cluster;

	private final ControlClient controlClient;

	private final TimeSource time;

	private final long propagationTimeoutMillis;

	/**
	 * Creates the operations.
	 * @param cluster counts the instances that have applied a revision
	 * @param controlClient sends requests to the control group
	 * @param time the clock
	 * @param propagationTimeoutMillis how long a submission waits for live instances that
	 * have not applied the rules yet, in milliseconds
	 */
	public RuleOperations(ClusterService cluster, ControlClient controlClient, TimeSource time,
			long propagationTimeoutMillis) {
		this.cluster = cluster;
		this.controlClient = controlClient;
		this.time = time;
		this.propagationTimeoutMillis = propagationTimeoutMillis;
	}

	/**
	 * Submits rules. If they are accepted, waits until a majority of all instances and
	 * every live instance has applied them, or until the propagation timeout.
	 * @param rules the rules, in a form that the rule parser accepts
	 * @return a future with the result, or with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<RuleSubmissionResult> submit(SubmitRules rules) {
		return submit(rules, this.time.monotonicNanos(), SUBMIT_TIMEOUT_MILLIS + this.propagationTimeoutMillis);
	}

	/**
	 * Submits rules for a caller that asks another instance if it gets no response for a
	 * while. Waits for live instances like {@link #submit(SubmitRules)}, but not beyond
	 * the given time; rules that are accepted later are acknowledged at once.
	 * @param rules the rules, in a form that the rule parser accepts
	 * @param arrivalNanos the monotonic time at which the call arrived, in nanoseconds
	 * @param acknowledgementMillis the time after the arrival at which accepted rules
	 * must be acknowledged, in milliseconds
	 * @return a future with the result, or with a {@link ControlTimeoutException}
	 */
	public CompletableFuture<RuleSubmissionResult> submit(SubmitRules rules, long arrivalNanos,
			long acknowledgementMillis) {
		long acknowledgementNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(acknowledgementMillis);
		ControlRequest.Builder command = ControlRequest.newBuilder()
			.setCommand(Command.newBuilder().setSubmitRules(rules));
		return this.controlClient.sendToLeader(command, SUBMIT_TIMEOUT_MILLIS)
			.thenCompose((response) -> handleDecision(response.getRules(), acknowledgementNanos));
	}

	private CompletableFuture<RuleSubmissionResult> handleDecision(RulesAnswer decision, long acknowledgementNanos) {
		eventLog.information("rules-submitted")
			.with("revision", decision.getRevision())
			.with("verdict", decision.getVerdict())
			.with("submitted-by", decision.getSubmittedBy())
			.write();
		if (decision.getVerdict() != RulesVerdict.ACCEPTED) {
			return this.cluster.rulePropagation(decision.getRevision())
				.thenApply((propagation) -> new RuleSubmissionResult(decision, propagation));
		}
		long acceptedNanos = this.time.monotonicNanos();
		PropagationWait wait = PropagationWait.startedAt(acceptedNanos, this.propagationTimeoutMillis,
				acknowledgementNanos);
		return awaitPropagation(decision.getRevision(), wait).thenApply((propagation) -> {
			logAcknowledgement(decision, propagation, acceptedNanos);
			return new RuleSubmissionResult(decision, propagation);
		});
	}

	private void logAcknowledgement(RulesAnswer decision, RulePropagation propagation, long acceptedNanos) {
		eventLog.information("rules-acknowledged")
			.with("revision", decision.getRevision())
			.with("applied", propagation.appliedCount())
			.with("live", propagation.liveCount())
			.with("instances", propagation.instanceCount())
			.with("waited-millis", TimeUnit.NANOSECONDS.toMillis(this.time.monotonicNanos() - acceptedNanos))
			.write();
	}

	private CompletableFuture<RulePropagation> awaitPropagation(long revision, PropagationWait wait) {
		return this.cluster.rulePropagation(revision).thenCompose((propagation) -> {
			long nowNanos = this.time.monotonicNanos();
			if (wait.isOver(propagation, nowNanos)) {
				return CompletableFuture.completedFuture(propagation);
			}
			Executor delayedExecutor = CompletableFuture
				.delayedExecutor(wait.nextPollNanos(PROPAGATION_POLL_MILLIS, nowNanos), TimeUnit.NANOSECONDS);
			return CompletableFuture.supplyAsync(() -> revision, delayedExecutor)
				.thenCompose((polledRevision) -> awaitPropagation(polledRevision, wait));
		});
	}

	/**
	 * Reads the document of the latest accepted rules, confirmed by a quorum of the
	 * control group.
	 * @param timeoutMillis how long to wait for the response, in milliseconds
	 * @return a future with a rule file that holds the revision, zero if no rules were
	 * accepted yet, and the document as submitted, or with a
	 * {@link ControlTimeoutException}
	 */
	public CompletableFuture<RuleFile> readLatestDocument(long timeoutMillis) {
		return this.controlClient
			.sendToLeader(ControlRequest.newBuilder()
				.setReadRules(ReadRules.newBuilder().setPart(RulePart.RULE_PART_DOCUMENT)), timeoutMillis)
			.thenApply((response) -> decodeDocument(response.getRuleFile()));
	}

	// A leader that does not know parts of rule files sends the plain document.
	private static RuleFile decodeDocument(RuleFile file) {
		if (file.getCompressedDocument().isEmpty()) {
			return file;
		}
		byte[] document = Compression.decompress(file.getCompressedDocument().toByteArray(), MAXIMUM_DOCUMENT_BYTES);
		return RuleFile.newBuilder().setRevision(file.getRevision()).setDocument(ByteString.copyFrom(document)).build();
	}

}
