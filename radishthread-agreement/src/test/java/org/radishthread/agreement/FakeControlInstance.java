package org.radishthread.agreement;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;

/**
 * Control instance with a simulated disk. It can crash, restart, freeze and lose its
 * disk.
 */
final class FakeControlInstance implements ControlReplicaOutput {

	private static final ReplicaSettings SETTINGS = new ReplicaSettings(50, 200, 1, 6);

	static final ClaimLimits CLAIM_LIMITS = new ClaimLimits(3_600_000, 1_000, 100, 10_000);

	private final String name;

	private final ElectionTimeoutSource electionTimeouts;

	private final Consumer<AgreementMessage> messageListener;

	private final BiConsumer<FakeControlInstance, RuleFile> rulesListener;

	private final Consumer<ControlResponse> responseListener;

	private final Consumer<Replica> stepListener;

	FakeLogStorage storage = new FakeLogStorage();

	long replicaId;

	boolean frozen;

	// The evacuations that were published last since the start.
	Evacuations publishedEvacuations = Evacuations.getDefaultInstance();

	private @Nullable ControlReplica replica;

	private @Nullable ControlReplicaDriver driver;

	FakeControlInstance(String name, long replicaId, ElectionTimeoutSource electionTimeouts,
			Consumer<AgreementMessage> messageListener, BiConsumer<FakeControlInstance, RuleFile> rulesListener,
			Consumer<ControlResponse> responseListener, Consumer<Replica> stepListener) {
		this.name = name;
		this.replicaId = replicaId;
		this.electionTimeouts = electionTimeouts;
		this.messageListener = messageListener;
		this.rulesListener = rulesListener;
		this.responseListener = responseListener;
		this.stepListener = stepListener;
	}

	ReplicaDescriptor descriptor() {
		return ReplicaDescriptor.newBuilder()
			.setId(this.replicaId)
			.setInstance(this.name)
			.setAddress(this.name)
			.build();
	}

	boolean isRunning() {
		return this.replica != null;
	}

	boolean isActive() {
		return isRunning() && !this.frozen;
	}

	void start(long nowMillis) {
		if (isRunning()) {
			return;
		}
		this.frozen = false;
		this.publishedEvacuations = Evacuations.getDefaultInstance();
		this.storage.crashAtNextWrite(FakeLogStorage.CrashPoint.NONE);
		ControlReplica newReplica = new ControlReplica(descriptor(), SETTINGS, CLAIM_LIMITS, this.electionTimeouts,
				this.storage.load());
		this.replica = newReplica;
		this.driver = new ControlReplicaDriver(newReplica, this.storage, this);
		step((replica) -> replica.tick(nowMillis), nowMillis);
	}

	void crash() {
		this.replica = null;
		this.driver = null;
	}

	void loseDisk(long newReplicaId) {
		crash();
		this.storage = new FakeLogStorage();
		this.replicaId = newReplicaId;
	}

	void step(Consumer<ControlReplica> event, long nowMillis) {
		ControlReplica currentReplica = this.replica;
		ControlReplicaDriver currentDriver = this.driver;
		if (currentReplica == null || currentDriver == null || this.frozen) {
			return;
		}
		try {
			event.accept(currentReplica);
			currentDriver.flush(nowMillis);
			this.stepListener.accept(currentReplica.replica());
		}
		catch (AgreementException ex) {
			crash();
		}
	}

	void handleRequest(ControlRequest request, long nowMillis) {
		step((replica) -> replica.handleRequest("client", request, nowMillis, nowMillis), nowMillis);
	}

	@Nullable ControlReplica replica() {
		return this.replica;
	}

	@Override
	public void send(AgreementMessage message) {
		this.messageListener.accept(message);
	}

	@Override
	public void reply(String requester, ControlResponse response) {
		this.responseListener.accept(response);
	}

	@Override
	public void publishRules(RuleFile rules) {
		this.rulesListener.accept(this, rules);
	}

	@Override
	public void publishEvacuations(Evacuations evacuations) {
		this.publishedEvacuations = evacuations;
	}

	@Override
	public String toString() {
		return this.name;
	}

}
