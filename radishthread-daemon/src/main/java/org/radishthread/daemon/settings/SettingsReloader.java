package org.radishthread.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;

import sun.misc.Signal;

import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.FindingsException;
import org.radishthread.kernel.Service;

/**
 * Reloads the settings file on SIGHUP and when its modification time changes. The
 * listener applies the settings that can change without a restart. An invalid file is
 * logged and otherwise ignored.
 */
public final class SettingsReloader implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "settings-reload";

	private static final EventLog eventLog = EventLog.of(SettingsReloader.class);

	private static final long CHECK_INTERVAL_MILLIS = 2_000;

	private final Path file;

	private final Consumer<DaemonSettings> listener;

	private final EventLoop eventLoop = new EventLoop(NAME);

	// Accessed by the thread of the event loop only.
	private FileTime lastModified = FileTime.fromMillis(0);

	/**
	 * Creates the service.
	 * @param file the settings file
	 * @param listener receives the settings after each reload, on the thread of the event
	 * loop
	 */
	public SettingsReloader(Path file, Consumer<DaemonSettings> listener) {
		this.file = file;
		this.listener = listener;
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.lastModified = modificationTime();
		Signal.handle(new Signal("HUP"), (signal) -> this.eventLoop.execute(() -> reload("signal")));
		this.eventLoop.scheduleWithFixedDelay(CHECK_INTERVAL_MILLIS, this::reloadIfModified);
	}

	private void reloadIfModified() {
		if (!modificationTime().equals(this.lastModified)) {
			reload("file");
		}
	}

	private FileTime modificationTime() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			eventLog.failure("settings-file-unreadable", ex).write();
			return this.lastModified;
		}
	}

	private void reload(String trigger) {
		this.lastModified = modificationTime();
		try {
			this.listener.accept(SettingsReader.read(this.file));
			eventLog.information("settings-reloaded").with("trigger", trigger).write();
		}
		catch (FindingsException ex) {
			eventLog.warning("settings-rejected").with("trigger", trigger).with("findings", ex.getMessage()).write();
		}
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
