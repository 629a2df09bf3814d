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
 * Keeps the announced upstreams in a file, so that instances that all stopped together
 * route before every upstream has announced itself again. What it holds may be old:
 * leases and later announcements correct it.
 */
public final class UpstreamStore implements ClusterListener {

	private static final EventLog eventLog = EventLog.of(UpstreamStore.class);

	private static final String NAME = "upstreams";

	private final Path folder;

	private final EventLoop loop = new EventLoop("upstream-store");

	public UpstreamStore(Path folder) {
		this.folder = folder;
	}

	/**
	 * Reads the file.
	 * @return the upstreams, or none if there is no file that can be read
	 */
	public List<UpstreamRecord> load() {
		Path file = this.folder.resolve(NAME);
		if (!Files.exists(file)) {
			return List.of();
		}
		try {
			return Synchronization.parseFrom(Files.readAllBytes(file)).getUpstreamsList();
		}
		catch (IOException ex) {
			// Upstreams announce themselves again.
			eventLog.failure("upstreams-not-read", ex).write();
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
			DurableFile.replace(this.folder, NAME, content);
		}
		catch (IOException ex) {
			// The file only shortens a later start.
			eventLog.failure("upstreams-not-written", ex).write();
		}
	}

	@Override
	public void rulesChanged(RuleFile rules) {
		// Rules are kept by the control group.
	}

}
