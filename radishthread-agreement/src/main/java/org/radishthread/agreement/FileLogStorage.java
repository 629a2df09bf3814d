package org.radishthread.agreement;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.EventLog;
import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogBatch;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.LogFrame;
import org.radishthread.protocol.LogHeader;

/**
 * Stores a log in one file per generation: a header with the hard state and the snapshot,
 * followed by one checksummed frame per synchronous write. Replacing the content writes a
 * new generation, which takes effect by an atomic rename. Not thread-safe.
 */
public final class FileLogStorage implements LogStorage, AutoCloseable {

	private static final EventLog eventLog = EventLog.of(FileLogStorage.class);

	private static final String FILE_NAME_PREFIX = "log-";

	private static final String TEMPORARY_SUFFIX = ".tmp";

	private final Path folder;

	private final DiskSync diskSync;

	private long generation;

	// Null if no file is open: before the log is loaded, and in an empty folder.
	private @Nullable FileChannel channel;

	public FileLogStorage(Path folder) {
		this(folder, FileChannel::force);
	}

	FileLogStorage(Path folder, DiskSync diskSync) {
		this.folder = folder;
		this.diskSync = diskSync;
	}

	@Override
	public StoredLog load() {
		try {
			closeChannel();
			Files.createDirectories(this.folder);
			deleteTemporaryFiles();
			Optional<Path> newestFile = generationFiles().max(Comparator.comparingLong(FileLogStorage::generationOf));
			if (newestFile.isEmpty()) {
				return StoredLog.EMPTY;
			}
			this.generation = generationOf(newestFile.get());
			StoredLog storedLog = read(newestFile.get());
			// The name of the newest file is on disk only now.
			deleteOlderGenerations();
			return storedLog;
		}
		catch (IOException | UncheckedIOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " cannot be read.", ex);
		}
	}

	private Stream<Path> generationFiles() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.filter((file) -> file.getFileName().toString().matches(FILE_NAME_PREFIX + "[0-9]+"))
				.toList()
				.stream();
		}
	}

	private static long generationOf(Path file) {
		return Long.parseLong(file.getFileName().toString().substring(FILE_NAME_PREFIX.length()));
	}

	private void deleteTemporaryFiles() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(TEMPORARY_SUFFIX)).toList()) {
				Files.delete(file);
			}
		}
	}

	private void deleteOlderGenerations() throws IOException {
		for (Path file : generationFiles().filter((path) -> generationOf(path) < this.generation).toList()) {
			Files.delete(file);
		}
	}

	private StoredLog read(Path file) throws IOException {
		byte[] bytes = Files.readAllBytes(file);
		LogFrames frames = LogFrames.decode(file.getFileName().toString(), bytes);
		if (frames.payloads().isEmpty()) {
			throw new CorruptLogException(file.getFileName().toString(), 0, "the header is missing");
		}
		FileChannel openChannel = FileChannel.open(file, StandardOpenOption.WRITE);
		this.channel = openChannel;
		if (frames.validBytes() < bytes.length) {
			eventLog.warning("log-tail-truncated")
				.with("file", file)
				.with("valid-bytes", frames.validBytes())
				.with("truncated-bytes", bytes.length - frames.validBytes())
				.write();
			openChannel.truncate(frames.validBytes());
		}
		// A process that was killed may have written frames, or renamed the file,
		// without a sync.
		this.diskSync.force(openChannel, true);
		syncFolder();
		openChannel.position(frames.validBytes());
		return decode(file, frames.payloads());
	}

	private static StoredLog decode(Path file, List<ByteBuffer> payloads) {
		try {
			LogHeader header = LogHeader.parseFrom(payloads.get(0));
			HardState hardState = header.getHardState();
			List<LogEntry> entries = new ArrayList<>();
			for (ByteBuffer payload : payloads.subList(1, payloads.size())) {
				for (LogFrame frame : LogBatch.parseFrom(payload).getFramesList()) {
					hardState = frame.hasHardState() ? frame.getHardState() : hardState;
					applyFrame(frame, entries);
				}
			}
			return new StoredLog(hardState, header.getSnapshot(), List.copyOf(entries));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new AgreementException("Log file " + file + " contains a frame that is not a valid protobuf message.",
					ex);
		}
	}

	private static void applyFrame(LogFrame frame, List<LogEntry> entries) {
		if (frame.getTruncateFrom() > 0) {
			entries.removeIf((entry) -> entry.getIndex() >= frame.getTruncateFrom());
		}
		entries.addAll(frame.getEntriesList());
	}

	@Override
	public void append(List<LogFrame> frames) {
		FileChannel openChannel = this.channel;
		if (openChannel == null) {
			throw new AgreementException(
					"Log in folder " + this.folder + " has no file to append to: replace its content first.");
		}
		try {
			writeFully(openChannel, LogFrames.encode(LogBatch.newBuilder().addAllFrames(frames).build().toByteArray()));
			this.diskSync.force(openChannel, false);
		}
		catch (IOException ex) {
			closeAfterFailure(ex);
			throw new AgreementException("Log in folder " + this.folder + " cannot be written.", ex);
		}
	}

	@Override
	public void replace(StoredLog content) {
		Path newFile = this.folder.resolve(FILE_NAME_PREFIX + (this.generation + 1));
		Path temporaryFile = this.folder.resolve(FILE_NAME_PREFIX + (this.generation + 1) + TEMPORARY_SUFFIX);
		try {
			closeChannel();
			FileChannel openChannel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE,
					StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
			this.channel = openChannel;
			LogHeader header = LogHeader.newBuilder()
				.setSnapshot(content.snapshot())
				.setHardState(content.hardState())
				.build();
			writeFully(openChannel, LogFrames.encode(header.toByteArray()));
			LogFrame entries = LogFrame.newBuilder().addAllEntries(content.entries()).build();
			writeFully(openChannel, LogFrames.encode(LogBatch.newBuilder().addFrames(entries).build().toByteArray()));
			this.diskSync.force(openChannel, true);
			Files.move(temporaryFile, newFile, StandardCopyOption.ATOMIC_MOVE);
			syncFolder();
			this.generation++;
			deleteOlderGenerations();
		}
		catch (IOException | UncheckedIOException ex) {
			closeAfterFailure(ex);
			throw new AgreementException("Log file " + newFile + " cannot be written.", ex);
		}
	}

	private void syncFolder() throws IOException {
		try (FileChannel folderChannel = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			this.diskSync.force(folderChannel, true);
		}
	}

	private static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
		while (buffer.hasRemaining()) {
			channel.write(buffer);
		}
	}

	// After a failed write nothing may be appended before the log is loaded again.
	private void closeAfterFailure(Exception failure) {
		try {
			closeChannel();
		}
		catch (IOException ex) {
			failure.addSuppressed(ex);
		}
	}

	private void closeChannel() throws IOException {
		FileChannel openChannel = this.channel;
		this.channel = null;
		if (openChannel != null) {
			openChannel.close();
		}
	}

	@Override
	public void close() {
		try {
			closeChannel();
		}
		catch (IOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " cannot be closed.", ex);
		}
	}

	/**
	 * Makes the content of a file, or the names in a folder, durable.
	 */
	@FunctionalInterface
	interface DiskSync {

		/**
		 * Returns when everything that was written before is on disk.
		 * @param channel a channel of the file or folder
		 * @param metadata whether attributes such as times must be durable too
		 * @throws IOException if the disk refuses
		 */
		void force(FileChannel channel, boolean metadata) throws IOException;

	}

}
