package org.radishthread.agreement;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.Snapshot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link FileLogStorage} on a disk whose syncs are recorded or refused.
 */
class FileLogStorageTests {

	private static final StoredLog FOUNDED = new StoredLog(HardState.newBuilder().setTerm(1).setGroup(5).build(),
			Snapshot.newBuilder().setIndex(1).setTerm(1).build(), List.of());

	@TempDir
	private Path folder;

	private boolean syncsRefused;

	private int syncsUntilRefusal = Integer.MAX_VALUE;

	private long syncedBytes;

	private FileLogStorage openStorage() {
		return new FileLogStorage(this.folder, this::sync);
	}

	private void sync(FileChannel channel, boolean metadata) throws IOException {
		if (this.syncsRefused || this.syncsUntilRefusal-- <= 0) {
			throw new IOException("The disk refused a sync.");
		}
		channel.force(metadata);
		this.syncedBytes = Math.max(this.syncedBytes, channel.size());
	}

	private static List<LogFrame> entry(long index) {
		return List.of(LogFrame.newBuilder().addEntries(LogEntry.newBuilder().setIndex(index).setTerm(1)).build());
	}

	private static long lastIndex(StoredLog log) {
		return log.entries().isEmpty() ? log.snapshot().getIndex()
				: log.entries().get(log.entries().size() - 1).getIndex();
	}

	@Nested
	class ProcessKilledDuringSync {

		// Guards against a loss of entries that were written but not synced when the
		// process was killed, and that count as durable after its restart.
		@Test
		void entriesThatAreLoadedAreSyncedFirst() throws IOException {
			try (FileLogStorage storage = openStorage()) {
				storage.load();
				storage.replace(FOUNDED);
				FileLogStorageTests.this.syncsRefused = true;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(() -> storage.append(entry(2)));
			}
			FileLogStorageTests.this.syncsRefused = false;
			FileLogStorageTests.this.syncedBytes = 0;
			try (FileLogStorage storage = openStorage()) {
				assertThat(lastIndex(storage.load())).isEqualTo(2);
			}
			assertThat(FileLogStorageTests.this.syncedBytes)
				.isGreaterThanOrEqualTo(FileLogStorageTests.this.folder.resolve("log-1").toFile().length());
		}

		@Test
		void logThatCannotBeSyncedIsNotLoaded() {
			try (FileLogStorage storage = openStorage()) {
				storage.load();
				storage.replace(FOUNDED);
				FileLogStorageTests.this.syncsRefused = true;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(storage::load);
			}
		}

	}

	@Nested
	class ProcessKilledBeforeItsNewFileIsNamedOnDisk {

		// Guards against a loss of the whole log if power fails after a restart that
		// removed the former file while the name of the new one was not on disk.
		@Test
		void formerFileIsKeptUntilTheNameOfTheNewOneIsSynced() {
			try (FileLogStorage storage = openStorage()) {
				storage.load();
				storage.replace(FOUNDED);
				FileLogStorageTests.this.syncsUntilRefusal = 1;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(() -> storage.replace(FOUNDED));
			}
			try (FileLogStorage storage = openStorage()) {
				FileLogStorageTests.this.syncsUntilRefusal = 1;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(storage::load);
				assertThat(FileLogStorageTests.this.folder.resolve("log-1")).exists();
				FileLogStorageTests.this.syncsUntilRefusal = Integer.MAX_VALUE;
				assertThat(storage.load()).isEqualTo(FOUNDED);
				assertThat(FileLogStorageTests.this.folder.resolve("log-1")).doesNotExist();
			}
		}

	}

	@Nested
	class FailedWrite {

		@Test
		void nothingIsAppendedBeforeTheLogIsLoadedAgain() {
			try (FileLogStorage storage = openStorage()) {
				storage.load();
				storage.replace(FOUNDED);
				FileLogStorageTests.this.syncsRefused = true;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(() -> storage.append(entry(2)));
				FileLogStorageTests.this.syncsRefused = false;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(() -> storage.append(entry(2)));
				StoredLog loadedLog = storage.load();
				storage.replace(loadedLog);
				storage.append(entry(lastIndex(loadedLog) + 1));
				assertThat(lastIndex(storage.load())).isEqualTo(lastIndex(loadedLog) + 1);
			}
		}

		@Test
		void contentThatCouldNotBeReplacedIsKept() {
			try (FileLogStorage storage = openStorage()) {
				storage.load();
				storage.replace(FOUNDED);
				storage.append(entry(2));
				FileLogStorageTests.this.syncsRefused = true;
				assertThatExceptionOfType(AgreementException.class).isThrownBy(() -> storage.replace(StoredLog.EMPTY));
				FileLogStorageTests.this.syncsRefused = false;
				assertThat(lastIndex(storage.load())).isEqualTo(2);
			}
		}

	}

}
