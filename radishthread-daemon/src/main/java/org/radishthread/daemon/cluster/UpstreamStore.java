package org.radishthread.daemon.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Backoff;
import org.radishthread.kernel.DurableFile;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.membership.UpstreamSnapshot;
import org.radishthread.protocol.Synchronization;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Stores the upstream records of an instance in a file, so that after a restart of all
 * instances an upstream that left is not used again, and the others are known before they
 * have announced themselves again. A write that fails is repeated. Safe for use by
 * several threads.
 */
public final class UpstreamStore {

	private static final EventLog eventLog = EventLog.of(UpstreamStore.class);

	private static final String FILE_NAME = "upstreams";

	private static final long FIRST_RETRY_MILLIS = 100;

	private static final long MAXIMUM_RETRY_MILLIS = 1_600;

	private final Path folder;

	private final EventLoop loop = new EventLoop("upstream-store");

	// Only the latest records are written, so that a slow disk delays changes by two
	// writes at most.
	private final AtomicReference<@Nullable PendingWrite> pendingWrite = new AtomicReference<>();

	// Accessed on the thread of the loop only.
	private boolean retryScheduled;

	// Accessed on the thread of the loop only.
	private final Backoff retryDelay = new Backoff(FIRST_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS);

	public UpstreamStore(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the stored records.
	 * @return the records, or an empty list if the file is missing or cannot be read
	 */
	public List<UpstreamRecord> load() {
		Path file = this.folder.resolve(FILE_NAME);
		if (!Files.exists(file)) {
			return List.of();
		}
		try {
			return Synchronization.parseFrom(Files.readAllBytes(file)).getUpstreamsList();
		}
		catch (IOException ex) {
			// Other control instances have the records as well.
			eventLog.failure("upstream-file-read-failed", ex).write();
			return List.of();
		}
	}

	/**
	 * Replaces the stored records. Returns at once.
	 * @param snapshot the records
	 * @param onStored called on a thread of the store with the number of the latest
	 * change that is on disk; not called for records that were replaced before they were
	 * written
	 */
	public void save(UpstreamSnapshot snapshot, LongConsumer onStored) {
		this.pendingWrite.set(new PendingWrite(snapshot, onStored));
		this.loop.execute(() -> {
			if (!this.retryScheduled) {
				writeLatest();
			}
		});
	}

	private void writeLatest() {
		this.retryScheduled = false;
		PendingWrite write = this.pendingWrite.getAndSet(null);
		if (write == null) {
			return;
		}
		try {
			if (!Files.exists(this.folder)) {
				DurableFile.createFolders(this.folder);
			}
			DurableFile.replace(this.folder, FILE_NAME,
					Synchronization.newBuilder().addAllUpstreams(write.snapshot().records()).build().toByteArray());
			this.retryDelay.reset();
			write.onStored().accept(write.snapshot().change());
		}
		catch (IOException ex) {
			long retryMillis = this.retryDelay.nextMillis();
			eventLog.failure("upstream-file-write-failed", ex).with("retry-millis", retryMillis).write();
			// Later records, which contain these, may have arrived meanwhile.
			this.pendingWrite.compareAndSet(null, write);
			this.retryScheduled = true;
			this.loop.schedule(retryMillis, this::writeLatest);
		}
	}

	private record PendingWrite(UpstreamSnapshot snapshot, LongConsumer onStored) {
	}

}
