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
 * Writes, tears and damages log files against an oracle in memory.
 */
class FileLogStorageProperties {

	@Property(tries = 150, seed = "7", shrinking = ShrinkingMode.OFF)
	void whatWasSyncedIsRead(@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = 9) Integer> writes)
			throws IOException {
		withFolder((folder) -> {
			StoredLog expected = write(folder, writes);
			assertThat(load(folder)).isEqualTo(expected);
		});
	}

	@Property(tries = 150, seed = "8", shrinking = ShrinkingMode.OFF)
	void tornLastWriteIsCut(@ForAll @Size(min = 2, max = 12) List<@IntRange(min = 1, max = 9) Integer> writes,
			@ForAll @IntRange(min = 1, max = 60) int torn) throws IOException {
		withFolder((folder) -> {
			StoredLog expected = write(folder, writes);
			long whole = Files.size(logFile(folder));
			try (FileLogStorage storage = new FileLogStorage(folder)) {
				storage.load();
				storage.append(List.of(frame(nextIndex(expected), 1)));
			}
			byte[] bytes = Files.readAllBytes(logFile(folder));
			int cut = (int) Math.max(whole, bytes.length - torn);
			Files.write(logFile(folder), java.util.Arrays.copyOf(bytes, cut));
			assertThat(load(folder)).isEqualTo(expected);
			assertThat(load(folder)).as("a second start").isEqualTo(expected);
		});
	}

	@Property(tries = 300, seed = "9", shrinking = ShrinkingMode.OFF)
	void damageBeforeTheLastWriteStopsTheStart(
			@ForAll @Size(min = 2, max = 12) List<@IntRange(min = 1, max = 9) Integer> writes,
			@ForAll @IntRange(min = 0, max = 100_000) int where, @ForAll @IntRange(min = 1, max = 255) int flipped)
			throws IOException {
		withFolder((folder) -> {
			StoredLog before = write(folder, writes);
			long whole = Files.size(logFile(folder));
			try (FileLogStorage storage = new FileLogStorage(folder)) {
				storage.load();
				storage.append(List.of(frame(nextIndex(before), 1)));
			}
			byte[] bytes = Files.readAllBytes(logFile(folder));
			bytes[(int) (where % whole)] ^= (byte) flipped;
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

	// Zero takes a snapshot; other numbers append as many entries.
	private static StoredLog write(Path folder, List<Integer> writes) {
		HardState hardState = HardState.newBuilder().setTerm(1).setGroup(5).build();
		StoredLog expected = new StoredLog(hardState, Snapshot.newBuilder().setIndex(1).setTerm(1).build(), List.of());
		try (FileLogStorage storage = new FileLogStorage(folder)) {
			storage.load();
			storage.replace(expected);
			for (int write : writes) {
				expected = (write == 0) ? snapshot(expected) : appended(expected, frame(nextIndex(expected), write));
				if (write == 0) {
					storage.replace(expected);
				}
				else {
					storage.append(List.of(frame(nextIndex(expected) - write, write)));
				}
			}
		}
		return expected;
	}

	private static StoredLog snapshot(StoredLog log) {
		Snapshot taken = Snapshot.newBuilder().setIndex(nextIndex(log) - 1).setTerm(1).build();
		return new StoredLog(log.hardState(), taken, List.of());
	}

	private static StoredLog appended(StoredLog log, LogFrame frame) {
		List<LogEntry> entries = new ArrayList<>(log.entries());
		entries.addAll(frame.getEntriesList());
		return new StoredLog(log.hardState(), log.snapshot(), entries);
	}

	private static LogFrame frame(long first, int count) {
		LogFrame.Builder frame = LogFrame.newBuilder();
		for (int i = 0; i < count; i++) {
			frame.addEntries(LogEntry.newBuilder().setIndex(first + i).setTerm(1));
		}
		return frame.build();
	}

	private static void withFolder(FolderTest test) throws IOException {
		Path folder = Files.createTempDirectory("log");
		try {
			test.run(folder);
		}
		finally {
			try (Stream<Path> files = Files.walk(folder)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.delete(file);
				}
			}
		}
	}

	private interface FolderTest {

		void run(Path folder) throws IOException;

	}

}
