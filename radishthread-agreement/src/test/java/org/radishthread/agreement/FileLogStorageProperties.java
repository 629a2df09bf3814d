package org.radishthread.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.Snapshot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Property tests for {@link FileLogStorage}: compares loaded logs with an in-memory model
 * after complete writes, incomplete writes and damage.
 */
class FileLogStorageProperties {

	@Property(tries = 150, seed = "7", shrinking = ShrinkingMode.OFF)
	void loadReturnsAllSyncedWrites(
			@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 9) Integer> entryCounts) throws IOException {
		withFolder((folder) -> {
			StoredLog expectedLog = writeLog(folder, entryCounts);
			assertThat(load(folder)).isEqualTo(expectedLog);
		});
	}

	@Property(tries = 150, seed = "8", shrinking = ShrinkingMode.OFF)
	void incompleteLastWriteIsDiscarded(
			@ForAll @Size(min = 2, max = 12) List<@IntRange(min = 1, max = 9) Integer> entryCounts,
			@ForAll @IntRange(min = 1, max = 60) int lostBytes) throws IOException {
		withFolder((folder) -> {
			StoredLog expectedLog = writeLog(folder, entryCounts);
			long completeSize = Files.size(logFile(folder));
			try (FileLogStorage storage = new FileLogStorage(folder)) {
				storage.load();
				storage.append(List.of(frameOf(nextIndex(expectedLog), 1)));
			}
			byte[] bytes = Files.readAllBytes(logFile(folder));
			int remainingSize = (int) Math.max(completeSize, bytes.length - lostBytes);
			Files.write(logFile(folder), java.util.Arrays.copyOf(bytes, remainingSize));
			assertThat(load(folder)).isEqualTo(expectedLog);
			assertThat(load(folder)).as("log loaded a second time").isEqualTo(expectedLog);
		});
	}

	@Property(tries = 300, seed = "9", shrinking = ShrinkingMode.OFF)
	void damageBeforeLastWriteFailsLoad(
			@ForAll @Size(min = 2, max = 12) List<@IntRange(min = 1, max = 9) Integer> entryCounts,
			@ForAll @IntRange(min = 0, max = 100_000) int damagePosition,
			@ForAll @IntRange(min = 1, max = 255) int flippedBits) throws IOException {
		withFolder((folder) -> {
			StoredLog expectedLog = writeLog(folder, entryCounts);
			long completeSize = Files.size(logFile(folder));
			try (FileLogStorage storage = new FileLogStorage(folder)) {
				storage.load();
				storage.append(List.of(frameOf(nextIndex(expectedLog), 1)));
			}
			byte[] bytes = Files.readAllBytes(logFile(folder));
			bytes[(int) (damagePosition % completeSize)] ^= (byte) flippedBits;
			Files.write(logFile(folder), bytes);
			assertThatExceptionOfType(CorruptLogException.class).isThrownBy(() -> load(folder));
		});
	}

	private static long nextIndex(StoredLog log) {
		int size = log.entries().size();
		return (size == 0) ? log.snapshot().getIndex() + 1 : log.entries().get(size - 1).getIndex() + 1;
	}

	private static StoredLog load(Path folder) {
		try (FileLogStorage storage = new FileLogStorage(folder)) {
			return storage.load();
		}
	}

	private static Path logFile(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.findFirst().orElseThrow();
		}
	}

	// Writes a snapshot for a count of zero, else appends as many entries.
	private static StoredLog writeLog(Path folder, List<Integer> entryCounts) {
		HardState hardState = HardState.newBuilder().setTerm(1).setGroup(5).build();
		StoredLog expectedLog = new StoredLog(hardState, Snapshot.newBuilder().setIndex(1).setTerm(1).build(),
				List.of());
		try (FileLogStorage storage = new FileLogStorage(folder)) {
			storage.load();
			storage.replace(expectedLog);
			for (int entryCount : entryCounts) {
				expectedLog = (entryCount == 0) ? withSnapshot(expectedLog)
						: withFrame(expectedLog, frameOf(nextIndex(expectedLog), entryCount));
				if (entryCount == 0) {
					storage.replace(expectedLog);
				}
				else {
					storage.append(List.of(frameOf(nextIndex(expectedLog) - entryCount, entryCount)));
				}
			}
		}
		return expectedLog;
	}

	private static StoredLog withSnapshot(StoredLog log) {
		Snapshot newSnapshot = Snapshot.newBuilder().setIndex(nextIndex(log) - 1).setTerm(1).build();
		return new StoredLog(log.hardState(), newSnapshot, List.of());
	}

	private static StoredLog withFrame(StoredLog log, LogFrame frame) {
		List<LogEntry> entries = new ArrayList<>(log.entries());
		entries.addAll(frame.getEntriesList());
		return new StoredLog(log.hardState(), log.snapshot(), entries);
	}

	private static LogFrame frameOf(long firstIndex, int count) {
		LogFrame.Builder frame = LogFrame.newBuilder();
		for (int i = 0; i < count; i++) {
			frame.addEntries(LogEntry.newBuilder().setIndex(firstIndex + i).setTerm(1));
		}
		return frame.build();
	}

	private static void withFolder(FolderAction action) throws IOException {
		Path folder = Files.createTempDirectory("log");
		try {
			action.run(folder);
		}
		finally {
			try (Stream<Path> files = Files.walk(folder)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.delete(file);
				}
			}
		}
	}

	private interface FolderAction {

		void run(Path folder) throws IOException;

	}

}
