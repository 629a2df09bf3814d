package org.radishthread.agreement;

/**
 * Carries out the effects of a {@link ControlReplica} in their proper order: messages
 * that depend on a write leave only when it is durable. Commands taken in before one call
 * of {@link #flush} share one synced write (group commit).
 */
public final class ControlReplicaDriver {

	private final ControlReplica group;

	private final LogStorage storage;

	private final ControlReplicaOutput output;

	public ControlReplicaDriver(ControlReplica group, LogStorage storage, ControlReplicaOutput output) {
		this.group = group;
		this.storage = storage;
		this.output = output;
	}

	/**
	 * Carries out effects until there are none left.
	 * @param now the monotonic time, in milliseconds
	 * @throws AgreementException if a write fails; this control instance must stop
	 */
	public void flush(long now) {
		ControlReplicaEffects effects = this.group.drain(now);
		while (!effects.isEmpty()) {
			perform(effects);
			this.group.synced(now);
			effects = this.group.drain(now);
		}
	}

	private void perform(ControlReplicaEffects effects) {
		effects.immediate().forEach(this.output::send);
		store(effects);
		effects.afterSync().forEach(this.output::send);
		if (effects.appliedRules() != null) {
			this.output.publishRules(effects.appliedRules());
		}
		effects.replies().forEach((reply) -> this.output.reply(reply.origin(), reply.response()));
	}

	private void store(ControlReplicaEffects effects) {
		if (effects.content() != null) {
			this.storage.replace(effects.content());
		}
		else if (!effects.frames().isEmpty()) {
			this.storage.append(effects.frames());
		}
	}

}
