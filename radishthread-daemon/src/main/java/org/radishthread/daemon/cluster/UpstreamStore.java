package org.radishthread.daemon.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.radishthread.kernel.DurableFile;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.protocol.RuleFile;
import org.radishthread.protocol.Synchronization;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Stores the announced upstreams in a file, so that instances can route after all of them
 * stopped, before every upstream has announced itself again. The stored records may be
 * outdated; leases and later announcements correct them.
 */
public final class UpstreamStore implements ClusterListener {

	private static final EventLog eventLog = EventLog.of(UpstreamStore.class);

	private static final String FILE_NAME = "upstreams";

	private final Path folder;

	private final EventLoop loop = new EventLoop("upstream-store");

	public UpstreamStore(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the stored upstreams.
	 * @return the upstreams, or an empty list if the file is missing or cannot be read
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
			// Upstreams announce themselves again.
			eventLog.failure("upstream-file-read-failed", ex).write();
			return List.of();
		}
	}

	@Override
	public void upstreamsChanged(List<UpstreamRecord> upstreams) {
		this.loop.execute(() -> write(Synchronization.newBuilder().addAllUpstreams(upstreams).build().toByteArray()));
	}

	private void write(byte[] content) {
		try {
			Files.createDirectories(this.folder);
			DurableFile.replace(this.folder, FILE_NAME, content);
		}
		catch (IOException ex) {
			// The file only shortens the next start.
			eventLog.failure("upstream-file-write-failed", ex).write();
		}
	}

	@Override
	public void rulesChanged(RuleFile rules) {
		// Rules are stored by the control group.
	}

}
