package org.radishthread.agreement;

import java.io.IOException;
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

	private long generation;

	private @Nullable FileChannel channel;

	public FileLogStorage(Path folder) {
		this.folder = folder;
	}

	@Override
	public StoredLog load() {
		try {
			Files.createDirectories(this.folder);
			deleteTemporaryFiles();
			Optional<Path> newestFile = generationFiles().max(Comparator.comparingLong(FileLogStorage::generationOf));
			if (newestFile.isEmpty()) {
				return StoredLog.EMPTY;
			}
			this.generation = generationOf(newestFile.get());
			deleteOlderGenerations();
			return read(newestFile.get());
		}
		catch (IOException ex) {
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
			openChannel.force(true);
		}
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
			openChannel.force(false);
		}
		catch (IOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " cannot be written.", ex);
		}
	}

	@Override
	public void replace(StoredLog content) {
		Path newFile = this.folder.resolve(FILE_NAME_PREFIX + (this.generation + 1));
		Path temporaryFile = this.folder.resolve(FILE_NAME_PREFIX + (this.generation + 1) + TEMPORARY_SUFFIX);
		try {
			FileChannel openChannel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE,
					StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
			LogHeader header = LogHeader.newBuilder()
				.setSnapshot(content.snapshot())
				.setHardState(content.hardState())
				.build();
			writeFully(openChannel, LogFrames.encode(header.toByteArray()));
			LogFrame entries = LogFrame.newBuilder().addAllEntries(content.entries()).build();
			writeFully(openChannel, LogFrames.encode(LogBatch.newBuilder().addFrames(entries).build().toByteArray()));
			openChannel.force(true);
			Files.move(temporaryFile, newFile, StandardCopyOption.ATOMIC_MOVE);
			syncFolder();
			switchToNextGeneration(openChannel);
		}
		catch (IOException ex) {
			throw new AgreementException("Log file " + newFile + " cannot be written.", ex);
		}
	}

	private void switchToNextGeneration(FileChannel openChannel) throws IOException {
		FileChannel previousChannel = this.channel;
		this.channel = openChannel;
		this.generation++;
		if (previousChannel != null) {
			previousChannel.close();
		}
		deleteOlderGenerations();
	}

	private void syncFolder() throws IOException {
		try (FileChannel folderChannel = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			folderChannel.force(true);
		}
	}

	private static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
		while (buffer.hasRemaining()) {
			channel.write(buffer);
		}
	}

	@Override
	public void close() {
		FileChannel openChannel = this.channel;
		if (openChannel == null) {
			return;
		}
		try {
			openChannel.close();
		}
		catch (IOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " cannot be closed.", ex);
		}
	}

}
