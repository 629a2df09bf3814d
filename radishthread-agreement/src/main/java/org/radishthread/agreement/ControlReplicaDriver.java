package org.radishthread.agreement;

/**
 * Executes the effects of a {@link ControlReplica} in the required order: messages that
 * depend on a log write are sent only after the write is durable. All commands received
 * between two calls of {@link #flush} share one synchronous write (group commit).
 */
public final class ControlReplicaDriver {

	private final ControlReplica replica;

	private final LogStorage storage;

	private final ControlReplicaOutput output;

	public ControlReplicaDriver(ControlReplica replica, LogStorage storage, ControlReplicaOutput output) {
		this.replica = replica;
		this.storage = storage;
		this.output = output;
	}

	/**
	 * Executes effects until none are pending.
	 * @param nowMillis the monotonic time, in milliseconds
	 * @throws AgreementException if a log write fails; the control instance must then
	 * stop
	 */
	public void flush(long nowMillis) {
		ControlReplicaEffects effects = this.replica.drain(nowMillis);
		while (!effects.isEmpty()) {
			execute(effects);
			this.replica.onLogSynced(nowMillis);
			effects = this.replica.drain(nowMillis);
		}
	}

	private void execute(ControlReplicaEffects effects) {
		effects.immediateMessages().forEach(this.output::send);
		writeLog(effects);
		effects.messagesAfterSync().forEach(this.output::send);
		if (effects.rulesToPublish() != null) {
			this.output.publishRules(effects.rulesToPublish());
		}
		if (effects.evacuationsToPublish() != null) {
			this.output.publishEvacuations(effects.evacuationsToPublish());
		}
		effects.replies().forEach((reply) -> this.output.reply(reply.requester(), reply.response()));
	}

	private void writeLog(ControlReplicaEffects effects) {
		if (effects.logContent() != null) {
			this.storage.replace(effects.logContent());
		}
		else if (!effects.logFrames().isEmpty()) {
			this.storage.append(effects.logFrames());
		}
	}

}
