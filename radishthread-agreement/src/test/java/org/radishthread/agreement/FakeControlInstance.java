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

	static final long CATCH_UP_MILLIS = 2_000;

	static final GroupSettings GROUP_SETTINGS = new GroupSettings(1, CATCH_UP_MILLIS);

	private static final ReplicaSettings SETTINGS = new ReplicaSettings(50, 200, 1, 6, GROUP_SETTINGS);

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

	private @Nullable ControlReplicaDriver driver;

	private long publishedRevision;

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
		return this.driver != null;
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
		this.publishedRevision = 0;
		this.driver = new ControlReplicaDriver((storedLog) -> new ControlReplica(descriptor(), SETTINGS, CLAIM_LIMITS,
				this.electionTimeouts, storedLog), this.storage, this);
		tick(nowMillis);
	}

	void crash() {
		this.driver = null;
	}

	void loseDisk(long newReplicaId) {
		crash();
		this.storage = new FakeLogStorage();
		this.replicaId = newReplicaId;
	}

	void tick(long nowMillis) {
		run((currentDriver) -> currentDriver.tick(nowMillis), nowMillis);
	}

	void step(Consumer<ControlReplica> event, long nowMillis) {
		run((currentDriver) -> currentDriver.withReplica(event), nowMillis);
	}

	void handleRequest(ControlRequest request, long nowMillis) {
		run((currentDriver) -> currentDriver.handleRequest("client", request, nowMillis, nowMillis), nowMillis);
	}

	private void run(Consumer<ControlReplicaDriver> event, long nowMillis) {
		ControlReplicaDriver currentDriver = this.driver;
		if (currentDriver == null || this.frozen) {
			return;
		}
		try {
			event.accept(currentDriver);
			currentDriver.flush(nowMillis);
			currentDriver.withReplica((replica) -> this.stepListener.accept(replica.replica()));
		}
		catch (FakeLogStorage.SimulatedCrashException ex) {
			crash();
		}
	}

	@Nullable ControlReplica replica() {
		return (this.driver != null) ? this.driver.replica() : null;
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
		// A replica whose log was opened again publishes what it had published before.
		if (rules.getRevision() > this.publishedRevision) {
			this.publishedRevision = rules.getRevision();
			this.rulesListener.accept(this, rules);
		}
	}

	@Override
	public void publishEvacuations(Evacuations evacuations) {
		this.publishedEvacuations = evacuations;
	}

	@Override
	public void logClosed(AgreementException failure, long retryMillis) {
		// The driver opens the log again.
	}

	@Override
	public void logReopened() {
		// The driver goes on with the replica.
	}

	@Override
	public String toString() {
		return this.name;
	}

}
