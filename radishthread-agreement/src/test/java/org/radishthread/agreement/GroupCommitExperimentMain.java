package org.radishthread.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.radishthread.protocol.AgreementMessage;
import org.radishthread.protocol.ClaimRequest;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.ControlResponse;
import org.radishthread.protocol.Evacuations;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;

/**
 * Measures the throughput and latency of claims with and without group commit. Runs three
 * control replicas on threads of one process, each with a log on the real disk.
 */
public final class GroupCommitExperimentMain {

	private static final int MEASUREMENT_SECONDS = 8;

	private static final int CONCURRENT_CLAIMS = 64;

	private static final ClaimLimits LIMITS = new ClaimLimits(3_600_000, 1_000_000, 1_000, 1_000_000);

	private GroupCommitExperimentMain() {
	}

	public static void main(String[] arguments) throws Exception {
		for (int maximumBatchSize : new int[] { 1, 1_024, 1, 1_024 }) {
			System.out.println(measure(maximumBatchSize));
		}
	}

	private static String measure(int maximumBatchSize) throws Exception {
		Path folder = Files.createTempDirectory(Path.of("target"), "group-commit");
		Map<Long, Node> nodes = new ConcurrentHashMap<>();
		Initialize.Builder initialize = Initialize.newBuilder();
		for (long id = 1; id <= 3; id++) {
			Node node = new Node(id, folder, nodes, maximumBatchSize);
			nodes.put(id, node);
			initialize.addReplicas(node.descriptor());
		}
		nodes.values().forEach(Node::start);
		nodes.get(1L)
			.enqueue((replica) -> replica.handleRequest("operator",
					ControlRequest.newBuilder().setInitialize(initialize).build(), nowMillis(), nowMillis()));
		while (nodes.values().stream().noneMatch((node) -> node.isLeader)) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		Node leader = nodes.values().stream().filter((node) -> node.isLeader).findFirst().orElseThrow();
		TimeUnit.MILLISECONDS.sleep(500);
		runLoad(leader, 2, new ConcurrentHistogram(3));
		Histogram latenciesMicros = new ConcurrentHistogram(3);
		long writeCountBefore = leader.writeCount.get();
		runLoad(leader, MEASUREMENT_SECONDS, latenciesMicros);
		long writeCount = leader.writeCount.get() - writeCountBefore;
		nodes.values().forEach(Node::stop);
		return String.format(Locale.ROOT,
				"batch=%d claims-per-second=%d p50-micros=%d p99-micros=%d writes-per-claim=%.2f", maximumBatchSize,
				latenciesMicros.getTotalCount() / MEASUREMENT_SECONDS, latenciesMicros.getValueAtPercentile(50),
				latenciesMicros.getValueAtPercentile(99), (double) writeCount / latenciesMicros.getTotalCount());
	}

	private static long nowMillis() {
		return System.nanoTime() / 1_000_000;
	}

	private static void runLoad(Node leader, int seconds, Histogram latenciesMicros) throws InterruptedException {
		Semaphore claimPermits = new Semaphore(CONCURRENT_CLAIMS);
		AtomicLong lastAttempt = new AtomicLong(ThreadLocalRandom.current().nextLong(1L << 40));
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < endNanos) {
			claimPermits.acquire();
			long attempt = lastAttempt.incrementAndGet();
			ClaimRequest claim = ClaimRequest.newBuilder()
				.setKey(ByteString.copyFromUtf8("key-" + attempt))
				.setAttempt(attempt)
				.build();
			long startNanos = System.nanoTime();
			leader.responseCallbacks.put(attempt, () -> {
				latenciesMicros.recordValue((System.nanoTime() - startNanos) / 1_000);
				claimPermits.release();
			});
			leader.enqueue((replica) -> replica.handleRequest("client",
					ControlRequest.newBuilder().setId(attempt).setCommand(Command.newBuilder().setClaim(claim)).build(),
					nowMillis(), nowMillis()));
		}
		claimPermits.acquire(CONCURRENT_CLAIMS);
	}

	private static final class Node implements ControlReplicaOutput {

		private final long id;

		private final Map<Long, Node> nodes;

		private final int maximumBatchSize;

		private final LinkedBlockingQueue<Consumer<ControlReplica>> events = new LinkedBlockingQueue<>();

		private final Map<Long, Runnable> responseCallbacks = new ConcurrentHashMap<>();

		private final AtomicLong writeCount = new AtomicLong();

		private final FileLogStorage storage;

		private final ControlReplica replica;

		private final ControlReplicaDriver driver;

		private volatile boolean isLeader;

		private volatile boolean stopRequested;

		private Node(long id, Path folder, Map<Long, Node> nodes, int maximumBatchSize) throws IOException {
			this.id = id;
			this.nodes = nodes;
			this.maximumBatchSize = maximumBatchSize;
			this.storage = new FileLogStorage(folder.resolve("node-" + id));
			this.driver = new ControlReplicaDriver(
					(storedLog) -> new ControlReplica(descriptor(), ReplicaSettings.DEFAULTS, LIMITS,
							(minimum) -> minimum + ThreadLocalRandom.current().nextLong(minimum), storedLog),
					countWrites(this.storage), this);
			this.replica = this.driver.replica();
		}

		private LogStorage countWrites(FileLogStorage delegate) {
			return new LogStorage() {

				@Override
				public StoredLog load() {
					return delegate.load();
				}

				@Override
				public void append(List<org.radishthread.protocol.LogFrame> frames) {
					Node.this.writeCount.incrementAndGet();
					delegate.append(frames);
				}

				@Override
				public void replace(StoredLog newContent) {
					Node.this.writeCount.incrementAndGet();
					delegate.replace(newContent);
				}

			};
		}

		private ReplicaDescriptor descriptor() {
			return ReplicaDescriptor.newBuilder().setId(this.id).setInstance("node-" + this.id).build();
		}

		private void start() {
			Thread thread = new Thread(this::run, "node-" + this.id);
			thread.setDaemon(true);
			thread.start();
		}

		private void run() {
			List<Consumer<ControlReplica>> batch = new ArrayList<>();
			try {
				while (!this.stopRequested) {
					batch.clear();
					Consumer<ControlReplica> event = this.events.poll(20, TimeUnit.MILLISECONDS);
					if (event != null) {
						batch.add(event);
						this.events.drainTo(batch, this.maximumBatchSize - 1);
					}
					this.replica.tick(nowMillis());
					batch.forEach((batchedEvent) -> batchedEvent.accept(this.replica));
					this.driver.flush(nowMillis());
					this.isLeader = this.replica.role() == ReplicaRole.LEADER;
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			this.storage.close();
		}

		private void stop() {
			this.stopRequested = true;
		}

		private void enqueue(Consumer<ControlReplica> event) {
			this.events.add(event);
		}

		@Override
		public void send(AgreementMessage message) {
			Node receiver = this.nodes.get(message.getTo());
			receiver.enqueue((replica) -> replica.receive(message, nowMillis()));
		}

		@Override
		public void reply(String requester, ControlResponse response) {
			Runnable callback = this.responseCallbacks.remove(response.getId());
			if (callback != null) {
				callback.run();
			}
		}

		@Override
		public void publishRules(RuleFile rules) {
			// The experiment submits no rules.
		}

		@Override
		public void logClosed(AgreementException failure, long retryMillis) {
			throw failure;
		}

		@Override
		public void logReopened() {
			// A failed write ends the experiment.
		}

		@Override
		public void publishEvacuations(Evacuations evacuations) {
			// The experiment evacuates no zones.
		}

	}

}
