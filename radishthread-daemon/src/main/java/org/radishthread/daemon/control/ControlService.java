package org.radishthread.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

import org.radishthread.agreement.AgreementException;
import org.radishthread.agreement.ClaimLimits;
import org.radishthread.agreement.ControlReplica;
import org.radishthread.agreement.ControlReplicaDriver;
import org.radishthread.agreement.ControlReplicaOutput;
import org.radishthread.agreement.FileLogStorage;
import org.radishthread.agreement.IdentityFile;
import org.radishthread.agreement.Leadership;
import org.radishthread.agreement.ReplicaSettings;
import org.radishthread.agreement.StoredLog;
import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.Freshness;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;

/**
 * Runs this instance's replica of the control group. A dedicated thread processes queued
 * events in batches; the events of a batch share one synced write (group commit). While
 * the log cannot be written, the replica takes no part in the group.
 */
public final class ControlService implements Service, ControlReplicaOutput {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "control";

	private static final EventLog eventLog = EventLog.of(ControlService.class);

	private static final long TICK_INTERVAL_MILLIS = 50;

	private static final int MAXIMUM_BATCH_SIZE = 1_024;

	// Gateways report less often.
	private static final long FRESHNESS_INTERVAL_MILLIS = 100;

	private final DaemonSettings settings;

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final TimeSource time;

	// Bounded to protect the memory; senders repeat messages that are dropped.
	private final LinkedBlockingQueue<Consumer<ControlReplicaDriver>> events = new LinkedBlockingQueue<>(100_000);

	private final FileLogStorage storage;

	private final ControlReplicaDriver driver;

	private final Thread thread;

	// Accessed by the thread of this service only. Null while the log cannot be written.
	private @Nullable Leadership loggedLeadership;

	// Accessed by the thread of this service only.
	private long publishedCurrentAtMillis = Freshness.UNKNOWN;

	// Accessed by the thread of this service only, after the start.
	private List<ReplicaDescriptor> publishedVoters = List.of();

	private volatile boolean stopRequested;

	public ControlService(DaemonSettings settings, PeerTransport transport, ClusterService cluster, TimeSource time) {
		this.settings = settings;
		this.transport = transport;
		this.cluster = cluster;
		this.time = time;
		this.storage = new FileLogStorage(settings.dataFolder().resolve("control"));
		this.driver = new ControlReplicaDriver(this::createReplica, this.storage, this);
		this.thread = new Thread(this::run, "control");
		this.thread.setDaemon(true);
	}

	private ControlReplica createReplica(StoredLog storedLog) {
		return new ControlReplica(this.cluster.replica(), ReplicaSettings.DEFAULTS.withGroup(this.settings.group()),
				ClaimLimits.DEFAULTS, (minimum) -> minimum + ThreadLocalRandom.current().nextLong(minimum), storedLog);
	}

	/**
	 * Reads the identifier of the replica from the data folder of an instance, or creates
	 * it if the folder has none.
	 * @param settings the settings of the instance
	 * @return the identifier, or zero if the instance does not have the control role
	 */
	public static long replicaId(DaemonSettings settings) {
		if (!settings.isControl()) {
			return 0;
		}
		return new IdentityFile(settings.dataFolder().resolve("control")).readOrCreate(settings.instance(),
				() -> ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.transport.registerHandler(Envelope.BodyCase.AGREEMENT,
				(name, address, envelope) -> enqueue((replicaDriver) -> replicaDriver
					.withReplica((replica) -> replica.receive(envelope.getAgreement(), nowMillis()))));
		this.transport.registerHandler(Envelope.BodyCase.CONTROL_REQUEST,
				(name, address, envelope) -> enqueue((replicaDriver) -> replicaDriver.handleRequest(address,
						envelope.getControlRequest(), nowMillis(), this.time.wallClockMillis())));
		this.driver.withReplica(this::publishVoters);
		this.thread.start();
	}

	private void enqueue(Consumer<ControlReplicaDriver> event) {
		if (!this.events.offer(event)) {
			eventLog.warning("control-event-dropped").with("queued", this.events.size()).write();
		}
	}

	private long nowMillis() {
		return this.time.monotonicMillis();
	}

	private void run() {
		try {
			while (!this.stopRequested) {
				processBatch();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.storage.close();
		}
	}

	private void processBatch() throws InterruptedException {
		List<Consumer<ControlReplicaDriver>> batch = new ArrayList<>();
		Consumer<ControlReplicaDriver> firstEvent = this.events.poll(TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		if (firstEvent != null) {
			batch.add(firstEvent);
			this.events.drainTo(batch, MAXIMUM_BATCH_SIZE);
		}
		this.driver.tick(nowMillis());
		batch.forEach((event) -> event.accept(this.driver));
		this.driver.flush(nowMillis());
		this.driver.withReplica((replica) -> {
			publishVoters(replica);
			publishRulesFreshness(replica);
			logLeadership(replica);
		});
	}

	private void publishVoters(ControlReplica replica) {
		List<ReplicaDescriptor> voters = replica.voters();
		if (!voters.equals(this.publishedVoters)) {
			this.publishedVoters = voters;
			this.cluster.recordControlGroup(
					voters.stream().map(ReplicaDescriptor::getInstance).collect(Collectors.toUnmodifiableSet()));
		}
	}

	// To be called after committed rules were published.
	private void publishRulesFreshness(ControlReplica replica) {
		long currentAtMillis = replica.rulesCurrentAtMillis();
		if (currentAtMillis - this.publishedCurrentAtMillis >= FRESHNESS_INTERVAL_MILLIS) {
			this.publishedCurrentAtMillis = currentAtMillis;
			this.cluster.recordRulesCurrent(currentAtMillis);
		}
	}

	private void logLeadership(ControlReplica replica) {
		Leadership currentLeadership = replica.leadership();
		Leadership previousLeadership = this.loggedLeadership;
		if (currentLeadership.equals(previousLeadership)) {
			return;
		}
		this.loggedLeadership = currentLeadership;
		if (previousLeadership == null) {
			return;
		}
		eventLog.information("leadership-changed")
			.with("instance", this.settings.instance())
			.with("from", previousLeadership.role().wireName())
			.with("role", currentLeadership.role().wireName())
			.with("term", currentLeadership.term())
			.with("leader", Long.toHexString(currentLeadership.leaderId()))
			.with("commit-index", replica.status(nowMillis()).getCommitIndex())
			.write();
	}

	@Override
	public void send(AgreementMessage message) {
		this.cluster.findReplicaAddress(message.getTo())
			.or(() -> Optional.ofNullable(this.driver.replica())
				.flatMap((replica) -> replica.addressOf(message.getTo())))
			.ifPresent((address) -> this.transport.send(address, Envelope.newBuilder().setAgreement(message).build()));
	}

	@Override
	public void reply(String origin, ControlResponse response) {
		this.transport.send(origin, Envelope.newBuilder().setControlResponse(response).build());
	}

	@Override
	public void publishRules(RuleFile rules) {
		this.cluster.offerRules(rules);
	}

	@Override
	public void publishEvacuations(Evacuations evacuations) {
		this.cluster.offerEvacuations(evacuations);
	}

	@Override
	public void logClosed(AgreementException failure, long retryMillis) {
		this.loggedLeadership = null;
		eventLog.failure("control-log-closed", failure)
			.with("instance", this.settings.instance())
			.with("retry-millis", retryMillis)
			.write();
	}

	@Override
	public void logReopened() {
		eventLog.information("control-log-reopened").with("instance", this.settings.instance()).write();
	}

	@Override
	public void stop() {
		this.stopRequested = true;
		this.thread.interrupt();
	}

}
