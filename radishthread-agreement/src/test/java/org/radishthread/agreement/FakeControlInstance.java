package org.radishthread.agreement;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;

/**
 * A control instance on a fake disk. It can be crashed, frozen, restarted and lose its
 * disk.
 */
final class FakeControlInstance implements ControlReplicaOutput {

	private static final ReplicaSettings SETTINGS = new ReplicaSettings(50, 200, 1, 6);

	static final ClaimLimits CLAIM_LIMITS = new ClaimLimits(3_600_000, 1_000, 100, 10_000);

	private final String name;

	private final ElectionTimeoutSource timeouts;

	private final Consumer<AgreementMessage> network;

	private final BiConsumer<FakeControlInstance, RuleFile> appliedRules;

	private final Consumer<ControlResponse> replies;

	private final Consumer<Replica> observer;

	FakeDisk disk = new FakeDisk();

	long identity;

	boolean frozen;

	private @Nullable ControlReplica group;

	private @Nullable ControlReplicaDriver driver;

	FakeControlInstance(String name, long identity, ElectionTimeoutSource timeouts, Consumer<AgreementMessage> network,
			BiConsumer<FakeControlInstance, RuleFile> appliedRules, Consumer<ControlResponse> replies,
			Consumer<Replica> observer) {
		this.name = name;
		this.identity = identity;
		this.timeouts = timeouts;
		this.network = network;
		this.appliedRules = appliedRules;
		this.replies = replies;
		this.observer = observer;
	}

	ReplicaDescriptor descriptor() {
		return ReplicaDescriptor.newBuilder().setId(this.identity).setInstance(this.name).setAddress(this.name).build();
	}

	boolean isRunning() {
		return this.group != null;
	}

	boolean acts() {
		return isRunning() && !this.frozen;
	}

	void start(long now) {
		if (isRunning()) {
			return;
		}
		this.frozen = false;
		this.disk.crashAtNextWrite(FakeDisk.Crash.NONE);
		ControlReplica started = new ControlReplica(descriptor(), SETTINGS, CLAIM_LIMITS, this.timeouts,
				this.disk.load());
		this.group = started;
		this.driver = new ControlReplicaDriver(started, this.disk, this);
		step((it) -> it.tick(now), now);
	}

	void crash() {
		this.group = null;
		this.driver = null;
	}

	void loseDisk(long newIdentity) {
		crash();
		this.disk = new FakeDisk();
		this.identity = newIdentity;
	}

	void step(Consumer<ControlReplica> event, long now) {
		ControlReplica running = this.group;
		ControlReplicaDriver driving = this.driver;
		if (running == null || driving == null || this.frozen) {
			return;
		}
		try {
			event.accept(running);
			driving.flush(now);
			this.observer.accept(running.replica());
		}
		catch (AgreementException ex) {
			crash();
		}
	}

	void request(ControlRequest request, long now) {
		step((it) -> it.handleRequest("client", request, now, now), now);
	}

	@Nullable ControlReplica group() {
		return this.group;
	}

	@Override
	public void send(AgreementMessage message) {
		this.network.accept(message);
	}

	@Override
	public void reply(String origin, ControlResponse response) {
		this.replies.accept(response);
	}

	@Override
	public void publishRules(RuleFile rules) {
		this.appliedRules.accept(this, rules);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
