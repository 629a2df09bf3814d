package org.radishthread.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.radishthread.agreement.AgreementException;
import org.radishthread.agreement.ClaimLimits;
import org.radishthread.agreement.ControlReplica;
import org.radishthread.agreement.ControlReplicaDriver;
import org.radishthread.agreement.ControlReplicaOutput;
import org.radishthread.agreement.FileLogStorage;
import org.radishthread.agreement.IdentityFile;
import org.radishthread.agreement.Leadership;
import org.radishthread.agreement.ReplicaSettings;
import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.RuleFile;

/**
 * Runs the control role of this instance: one thread takes all waiting events together,
 * so that they share one synced write.
 */
public final class ControlService implements Service, ControlReplicaOutput {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "control";

	private static final EventLog eventLog = EventLog.of(ControlService.class);

	private static final long TICK_MILLIS = 50;

	private static final int BATCH_LIMIT = 1_024;

	private final DaemonSettings settings;

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final TimeSource time;

	private final LinkedBlockingQueue<Consumer<ControlReplica>> events = new LinkedBlockingQueue<>(100_000);

	private final FileLogStorage storage;

	private final ControlReplica group;

	private final ControlReplicaDriver driver;

	private final Thread thread;

	// Used on the thread of this service only.
	private Leadership leadership;

	private volatile boolean stopping;

	public ControlService(DaemonSettings settings, PeerTransport transport, ClusterService cluster, TimeSource time) {
		this.settings = settings;
		this.transport = transport;
		this.cluster = cluster;
		this.time = time;
		this.storage = new FileLogStorage(settings.dataFolder().resolve("control"));
		this.group = new ControlReplica(cluster.replica(), ReplicaSettings.DEFAULTS, ClaimLimits.DEFAULTS,
				(minimum) -> minimum + ThreadLocalRandom.current().nextLong(minimum), this.storage.load());
		this.driver = new ControlReplicaDriver(this.group, this.storage, this);
		this.leadership = this.group.leadership();
		this.thread = new Thread(this::run, "control");
		this.thread.setDaemon(true);
	}

	/**
	 * Returns the identity of the replica in the data folder of an instance.
	 * @param settings the settings of the instance
	 * @return the identity, or zero without the control role
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
				(name, address, envelope) -> offer((it) -> it.receive(envelope.getAgreement(), now())));
		this.transport.registerHandler(Envelope.BodyCase.CONTROL_REQUEST, (name, address, envelope) -> offer(
				(it) -> it.handleRequest(address, envelope.getControlRequest(), now(), this.time.wallClockMillis())));
		this.thread.start();
	}

	private void offer(Consumer<ControlReplica> event) {
		if (!this.events.offer(event)) {
			eventLog.warning("control-event-dropped").with("waiting", this.events.size()).write();
		}
	}

	private long now() {
		return this.time.monotonicMillis();
	}

	private void run() {
		try {
			while (!this.stopping) {
				runBatch();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (AgreementException ex) {
			// After a failed write nobody knows what is on disk; go no further.
			eventLog.failure("control-stopped", ex).with("instance", this.settings.instance()).write();
		}
		finally {
			this.storage.close();
		}
	}

	private void runBatch() throws InterruptedException {
		List<Consumer<ControlReplica>> batch = new ArrayList<>();
		Consumer<ControlReplica> first = this.events.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
		if (first != null) {
			batch.add(first);
			this.events.drainTo(batch, BATCH_LIMIT);
		}
		this.group.tick(now());
		batch.forEach((event) -> event.accept(this.group));
		this.driver.flush(now());
		logLeadership();
	}

	private void logLeadership() {
		Leadership current = this.group.leadership();
		if (current.equals(this.leadership)) {
			return;
		}
		eventLog.information("leadership-changed")
			.with("instance", this.settings.instance())
			.with("from", this.leadership.role().wireName())
			.with("role", current.role().wireName())
			.with("term", current.term())
			.with("leader", Long.toHexString(current.leaderId()))
			.with("commit", this.group.status(now()).getCommitIndex())
			.write();
		this.leadership = current;
	}

	@Override
	public void send(AgreementMessage message) {
		this.cluster.findReplicaAddress(message.getTo())
			.or(() -> this.group.addressOf(message.getTo()))
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
	public void stop() {
		this.stopping = true;
		this.thread.interrupt();
	}

}
