package org.radishthread.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;

import org.radishthread.protocol.ClaimCompletion;
import org.radishthread.protocol.ClaimRequest;
import org.radishthread.protocol.Command;
import org.radishthread.protocol.ControlRequest;
import org.radishthread.protocol.Initialize;
import org.radishthread.protocol.RecordedAnswer;
import org.radishthread.protocol.SubmitRules;

/**
 * Measures a restart after few and after many changes, and what claims take on disk and
 * in memory.
 */
public final class RecoveryCostMain {

	private static final String RULES = "route swapdesk GET /swaps/** timeout=2s # asked by Ana Ruiz, 2026-11-30\n"
		.repeat(110);

	private RecoveryCostMain() {
	}

	public static void main(String[] arguments) throws IOException {
		for (int changes : new int[] { 10, 1_000, 5_000 }) {
			System.out.println(measure(changes, 0));
		}
		for (int claims : new int[] { 1_000, 10_000, 40_000 }) {
			System.out.println(measure(10, claims));
		}
	}

	private static String measure(int changes, int claims) throws IOException {
		Path folder = Files.createTempDirectory(Path.of("target"), "recovery");
		long before = usedMemory();
		try (FileLogStorage storage = new FileLogStorage(folder)) {
			storage.load();
			FakeControlInstance instance = instance();
			ControlReplica group = new ControlReplica(instance.descriptor(), ReplicaSettings.DEFAULTS,
					ClaimLimits.DEFAULTS, (minimum) -> minimum, StoredLog.EMPTY);
			ControlReplicaDriver driver = new ControlReplicaDriver(group, storage, instance);
			AtomicLong now = new AtomicLong();
			group.handleRequest("client",
					ControlRequest.newBuilder()
						.setInitialize(Initialize.newBuilder().addReplicas(instance.descriptor()))
						.build(),
					0, 0);
			driver.flush(0);
			group.tick(2_000);
			driver.flush(2_000);
			for (int revision = 1; revision <= changes; revision++) {
				command(group, now.incrementAndGet(), Command.newBuilder()
					.setSubmitRules(SubmitRules.newBuilder().setRevision(revision).setContent(RULES)));
				flushSometimes(driver, revision);
			}
			for (int claim = 1; claim <= claims; claim++) {
				claim(group, now.incrementAndGet(), claim);
				flushSometimes(driver, claim);
			}
			driver.flush(now.get());
			long memory = usedMemory() - before;
			return report(folder, changes, claims, memory, group);
		}
	}

	private static void flushSometimes(ControlReplicaDriver driver, int count) {
		if (count % 50 == 0) {
			driver.flush(count);
		}
	}

	private static void claim(ControlReplica group, long now, int number) {
		ByteString key = ByteString.copyFrom(org.radishthread.kernel.Sha256.of("key-" + number));
		command(group, now,
				Command.newBuilder()
					.setClaim(ClaimRequest.newBuilder()
						.setKey(key)
						.setFingerprint(key)
						.setOwner("instance-1")
						.setAttempt(number)));
		command(group, now,
				Command.newBuilder()
					.setCompletion(ClaimCompletion.newBuilder()
						.setKey(key)
						.setAttempt(number)
						.setAnswer(RecordedAnswer.newBuilder()
							.setStatus(200)
							.setBodyKept(true)
							.setBody(ByteString.copyFromUtf8("booked " + number)))));
	}

	private static void command(ControlReplica group, long now, Command.Builder command) {
		group.handleRequest("client", ControlRequest.newBuilder().setCommand(command).build(), now, now);
	}

	private static FakeControlInstance instance() {
		return new FakeControlInstance("single", 1, (minimum) -> minimum, (message) -> {
		}, (source, rules) -> {
		}, (response) -> {
		}, (replica) -> {
		});
	}

	private static String report(Path folder, int changes, int claims, long memory, ControlReplica group)
			throws IOException {
		long bytes;
		try (var files = Files.list(folder)) {
			bytes = files.mapToLong((file) -> file.toFile().length()).sum();
		}
		long started = System.nanoTime();
		try (FileLogStorage again = new FileLogStorage(folder)) {
			StoredLog stored = again.load();
			ControlReplica restarted = new ControlReplica(group.status(0).getReplica(), ReplicaSettings.DEFAULTS,
					ClaimLimits.DEFAULTS, (minimum) -> minimum, stored);
			restarted.tick(0);
			return String.format(Locale.ROOT,
					"changes=%d claims=%d bytes-read=%d entries-replayed=%d restart-millis=%.1f memory-bytes=%d",
					changes, claims, bytes, stored.entries().size(), (System.nanoTime() - started) / 1e6, memory);
		}
	}

	private static long usedMemory() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
