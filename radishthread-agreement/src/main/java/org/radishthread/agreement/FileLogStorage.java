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
 * Keeps a log in one file per generation: a header with the snapshot, then one
 * checksummed frame per synced write. A new generation replaces the old one by an atomic
 * rename.
 */
public final class FileLogStorage implements LogStorage, AutoCloseable {

	private static final EventLog eventLog = EventLog.of(FileLogStorage.class);

	private static final String PREFIX = "log-";

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
			removeTemporaryFiles();
			Optional<Path> newest = generations().max(Comparator.comparingLong(FileLogStorage::generationOf));
			if (newest.isEmpty()) {
				return StoredLog.EMPTY;
			}
			this.generation = generationOf(newest.get());
			removeOlderGenerations();
			return read(newest.get());
		}
		catch (IOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " can not be read.", ex);
		}
	}

	private Stream<Path> generations() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.filter((file) -> file.getFileName().toString().matches(PREFIX + "[0-9]+")).toList().stream();
		}
	}

	private static long generationOf(Path file) {
		return Long.parseLong(file.getFileName().toString().substring(PREFIX.length()));
	}

	private void removeTemporaryFiles() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(TEMPORARY_SUFFIX)).toList()) {
				Files.delete(file);
			}
		}
	}

	private void removeOlderGenerations() throws IOException {
		for (Path file : generations().filter((path) -> generationOf(path) < this.generation).toList()) {
			Files.delete(file);
		}
	}

	private StoredLog read(Path file) throws IOException {
		byte[] bytes = Files.readAllBytes(file);
		LogFrames frames = LogFrames.scan(file.getFileName().toString(), bytes);
		if (frames.payloads().isEmpty()) {
			throw new CorruptLogException(file.getFileName().toString(), 0, "the header is missing");
		}
		FileChannel opened = FileChannel.open(file, StandardOpenOption.WRITE);
		this.channel = opened;
		if (frames.validBytes() < bytes.length) {
			eventLog.warning("log-tail-cut")
				.with("file", file)
				.with("valid-bytes", frames.validBytes())
				.with("cut-bytes", bytes.length - frames.validBytes())
				.write();
			opened.truncate(frames.validBytes());
			opened.force(true);
		}
		opened.position(frames.validBytes());
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
					replay(frame, entries);
				}
			}
			return new StoredLog(hardState, header.getSnapshot(), List.copyOf(entries));
		}
		catch (InvalidProtocolBufferException ex) {
			throw new AgreementException("Log file " + file + " holds a record of an unknown form.", ex);
		}
	}

	private static void replay(LogFrame frame, List<LogEntry> entries) {
		if (frame.getTruncateFrom() > 0) {
			entries.removeIf((entry) -> entry.getIndex() >= frame.getTruncateFrom());
		}
		entries.addAll(frame.getEntriesList());
	}

	@Override
	public void append(List<LogFrame> frames) {
		FileChannel opened = this.channel;
		if (opened == null) {
			throw new AgreementException("Log in folder " + this.folder + " is not founded yet.");
		}
		try {
			writeFully(opened, LogFrames.encode(LogBatch.newBuilder().addAllFrames(frames).build().toByteArray()));
			opened.force(false);
		}
		catch (IOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " can not be written.", ex);
		}
	}

	@Override
	public void replace(StoredLog content) {
		Path target = this.folder.resolve(PREFIX + (this.generation + 1));
		Path temporary = this.folder.resolve(PREFIX + (this.generation + 1) + TEMPORARY_SUFFIX);
		try {
			FileChannel opened = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
					StandardOpenOption.TRUNCATE_EXISTING);
			LogHeader header = LogHeader.newBuilder()
				.setSnapshot(content.snapshot())
				.setHardState(content.hardState())
				.build();
			writeFully(opened, LogFrames.encode(header.toByteArray()));
			LogFrame entries = LogFrame.newBuilder().addAllEntries(content.entries()).build();
			writeFully(opened, LogFrames.encode(LogBatch.newBuilder().addFrames(entries).build().toByteArray()));
			opened.force(true);
			Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
			syncFolder();
			switchTo(opened);
		}
		catch (IOException ex) {
			throw new AgreementException("Log file " + target + " can not be written.", ex);
		}
	}

	private void switchTo(FileChannel opened) throws IOException {
		FileChannel previous = this.channel;
		this.channel = opened;
		this.generation++;
		if (previous != null) {
			previous.close();
		}
		removeOlderGenerations();
	}

	private void syncFolder() throws IOException {
		try (FileChannel directory = FileChannel.open(this.folder, StandardOpenOption.READ)) {
			directory.force(true);
		}
	}

	private static void writeFully(FileChannel target, ByteBuffer buffer) throws IOException {
		while (buffer.hasRemaining()) {
			target.write(buffer);
		}
	}

	@Override
	public void close() {
		FileChannel opened = this.channel;
		if (opened == null) {
			return;
		}
		try {
			opened.close();
		}
		catch (IOException ex) {
			throw new AgreementException("Log in folder " + this.folder + " can not be closed.", ex);
		}
	}

}
