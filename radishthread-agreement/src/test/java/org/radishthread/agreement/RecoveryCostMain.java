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
 * Measures the restart time after few and after many rule changes, and the disk and
 * memory usage of claims.
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
		long memoryBytesBefore = usedMemoryBytes();
		try (FileLogStorage storage = new FileLogStorage(folder)) {
			FakeControlInstance instance = newInstance();
			ControlReplicaDriver driver = new ControlReplicaDriver(
					(storedLog) -> new ControlReplica(instance.descriptor(), ReplicaSettings.DEFAULTS,
							ClaimLimits.DEFAULTS, (minimum) -> minimum, storedLog),
					storage, instance);
			ControlReplica replica = driver.replica();
			AtomicLong nowMillis = new AtomicLong();
			replica.handleRequest("client",
					ControlRequest.newBuilder()
						.setInitialize(Initialize.newBuilder().addReplicas(instance.descriptor()))
						.build(),
					0, 0);
			driver.flush(0);
			replica.tick(2_000);
			driver.flush(2_000);
			for (int revision = 1; revision <= changes; revision++) {
				sendCommand(replica, nowMillis.incrementAndGet(), Command.newBuilder()
					.setSubmitRules(SubmitRules.newBuilder().setRevision(revision).setContent(RULES)));
				flushPeriodically(driver, revision);
			}
			for (int claim = 1; claim <= claims; claim++) {
				submitClaim(replica, nowMillis.incrementAndGet(), claim);
				flushPeriodically(driver, claim);
			}
			driver.flush(nowMillis.get());
			long memoryBytes = usedMemoryBytes() - memoryBytesBefore;
			return report(folder, changes, claims, memoryBytes, replica);
		}
	}

	private static void flushPeriodically(ControlReplicaDriver driver, int commandNumber) {
		if (commandNumber % 50 == 0) {
			driver.flush(commandNumber);
		}
	}

	private static void submitClaim(ControlReplica replica, long nowMillis, int claimNumber) {
		ByteString key = ByteString.copyFrom(org.radishthread.kernel.Sha256.of("key-" + claimNumber));
		sendCommand(replica, nowMillis,
				Command.newBuilder()
					.setClaim(ClaimRequest.newBuilder()
						.setKey(key)
						.setFingerprint(key)
						.setOwner("instance-1")
						.setAttempt(claimNumber)));
		sendCommand(replica, nowMillis,
				Command.newBuilder()
					.setCompletion(ClaimCompletion.newBuilder()
						.setKey(key)
						.setAttempt(claimNumber)
						.setAnswer(RecordedAnswer.newBuilder()
							.setStatus(200)
							.setBodyKept(true)
							.setBody(ByteString.copyFromUtf8("booked " + claimNumber)))));
	}

	private static void sendCommand(ControlReplica replica, long nowMillis, Command.Builder command) {
		replica.handleRequest("client", ControlRequest.newBuilder().setCommand(command).build(), nowMillis, nowMillis);
	}

	private static FakeControlInstance newInstance() {
		return new FakeControlInstance("single", 1, (minimum) -> minimum, (message) -> {
		}, (source, rules) -> {
		}, (response) -> {
		}, (replica) -> {
		});
	}

	private static String report(Path folder, int changes, int claims, long memoryBytes, ControlReplica replica)
			throws IOException {
		long fileBytes;
		try (var files = Files.list(folder)) {
			fileBytes = files.mapToLong((file) -> file.toFile().length()).sum();
		}
		long startNanos = System.nanoTime();
		try (FileLogStorage reopenedStorage = new FileLogStorage(folder)) {
			StoredLog storedLog = reopenedStorage.load();
			ControlReplica restartedReplica = new ControlReplica(replica.status(0).getReplica(),
					ReplicaSettings.DEFAULTS, ClaimLimits.DEFAULTS, (minimum) -> minimum, storedLog);
			restartedReplica.tick(0);
			return String.format(Locale.ROOT,
					"changes=%d claims=%d bytes-read=%d entries-replayed=%d restart-millis=%.1f memory-bytes=%d",
					changes, claims, fileBytes, storedLog.entries().size(), (System.nanoTime() - startNanos) / 1e6,
					memoryBytes);
		}
	}

	private static long usedMemoryBytes() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
