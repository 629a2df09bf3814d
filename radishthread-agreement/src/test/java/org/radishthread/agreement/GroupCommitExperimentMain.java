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
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.ReplicaDescriptor;
import org.radishthread.protocol.RuleFile;

/**
 * Measures claims a second and their latency with and without group commit: three control
 * instances on threads of one process, each with a log on the real disk.
 */
public final class GroupCommitExperimentMain {

	private static final int SECONDS = 8;

	private static final int OPEN_CLAIMS = 64;

	private static final ClaimLimits LIMITS = new ClaimLimits(3_600_000, 1_000_000, 1_000, 1_000_000);

	private GroupCommitExperimentMain() {
	}

	public static void main(String[] arguments) throws Exception {
		for (int batch : new int[] { 1, 1_024, 1, 1_024 }) {
			System.out.println(measure(batch));
		}
	}

	private static String measure(int batch) throws Exception {
		Path folder = Files.createTempDirectory(Path.of("target"), "group-commit");
		Map<Long, Node> nodes = new ConcurrentHashMap<>();
		Initialize.Builder initialize = Initialize.newBuilder();
		for (long id = 1; id <= 3; id++) {
			Node node = new Node(id, folder, nodes, batch);
			nodes.put(id, node);
			initialize.addReplicas(node.descriptor());
		}
		nodes.values().forEach(Node::start);
		nodes.get(1L)
			.offer((group) -> group.handleRequest("founder",
					ControlRequest.newBuilder().setInitialize(initialize).build(), now(), now()));
		while (nodes.values().stream().noneMatch((node) -> node.leads)) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		Node leader = nodes.values().stream().filter((node) -> node.leads).findFirst().orElseThrow();
		TimeUnit.MILLISECONDS.sleep(500);
		load(leader, 2, new ConcurrentHistogram(3));
		Histogram latencies = new ConcurrentHistogram(3);
		long before = leader.writes.get();
		load(leader, SECONDS, latencies);
		long writes = leader.writes.get() - before;
		nodes.values().forEach(Node::stop);
		return String.format(Locale.ROOT,
				"batch=%d claims-per-second=%d p50-micros=%d p99-micros=%d writes-per-claim=%.2f", batch,
				latencies.getTotalCount() / SECONDS, latencies.getValueAtPercentile(50),
				latencies.getValueAtPercentile(99), (double) writes / latencies.getTotalCount());
	}

	private static long now() {
		return System.nanoTime() / 1_000_000;
	}

	private static void load(Node leader, int seconds, Histogram latencies) throws InterruptedException {
		Semaphore open = new Semaphore(OPEN_CLAIMS);
		AtomicLong id = new AtomicLong(ThreadLocalRandom.current().nextLong(1L << 40));
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < end) {
			open.acquire();
			long number = id.incrementAndGet();
			ClaimRequest claim = ClaimRequest.newBuilder()
				.setKey(ByteString.copyFromUtf8("key-" + number))
				.setAttempt(number)
				.build();
			long started = System.nanoTime();
			leader.answers.put(number, () -> {
				latencies.recordValue((System.nanoTime() - started) / 1_000);
				open.release();
			});
			leader.offer((group) -> group.handleRequest("client",
					ControlRequest.newBuilder().setId(number).setCommand(Command.newBuilder().setClaim(claim)).build(),
					now(), now()));
		}
		open.acquire(OPEN_CLAIMS);
	}

	private static final class Node implements ControlReplicaOutput {

		private final long id;

		private final Map<Long, Node> nodes;

		private final int batch;

		private final LinkedBlockingQueue<Consumer<ControlReplica>> events = new LinkedBlockingQueue<>();

		private final Map<Long, Runnable> answers = new ConcurrentHashMap<>();

		private final AtomicLong writes = new AtomicLong();

		private final FileLogStorage storage;

		private final ControlReplica group;

		private final ControlReplicaDriver driver;

		private volatile boolean leads;

		private volatile boolean stopping;

		private Node(long id, Path folder, Map<Long, Node> nodes, int batch) throws IOException {
			this.id = id;
			this.nodes = nodes;
			this.batch = batch;
			this.storage = new FileLogStorage(folder.resolve("node-" + id));
			this.group = new ControlReplica(descriptor(), ReplicaSettings.DEFAULTS, LIMITS,
					(minimum) -> minimum + ThreadLocalRandom.current().nextLong(minimum), this.storage.load());
			this.driver = new ControlReplicaDriver(this.group, counting(this.storage), this);
		}

		private LogStorage counting(FileLogStorage target) {
			return new LogStorage() {

				@Override
				public StoredLog load() {
					return target.load();
				}

				@Override
				public void append(List<org.radishthread.protocol.LogFrame> frames) {
					Node.this.writes.incrementAndGet();
					target.append(frames);
				}

				@Override
				public void replace(StoredLog content) {
					Node.this.writes.incrementAndGet();
					target.replace(content);
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
			List<Consumer<ControlReplica>> taken = new ArrayList<>();
			try {
				while (!this.stopping) {
					taken.clear();
					Consumer<ControlReplica> first = this.events.poll(20, TimeUnit.MILLISECONDS);
					if (first != null) {
						taken.add(first);
						this.events.drainTo(taken, this.batch - 1);
					}
					this.group.tick(now());
					taken.forEach((event) -> event.accept(this.group));
					this.driver.flush(now());
					this.leads = this.group.role() == ReplicaRole.LEADER;
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			this.storage.close();
		}

		private void stop() {
			this.stopping = true;
		}

		private void offer(Consumer<ControlReplica> event) {
			this.events.add(event);
		}

		@Override
		public void send(AgreementMessage message) {
			Node target = this.nodes.get(message.getTo());
			target.offer((it) -> it.receive(message, now()));
		}

		@Override
		public void reply(String origin, ControlResponse response) {
			Runnable answer = this.answers.remove(response.getId());
			if (answer != null) {
				answer.run();
			}
		}

		@Override
		public void publishRules(RuleFile rules) {
			// Rules are not part of this experiment.
		}

	}

}
