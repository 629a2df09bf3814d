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
 * Reads the settings file again on SIGHUP and when it has changed. What can change
 * without a restart is handed on; a file with findings changes nothing.
 */
public final class SettingsReload implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "settings-reload";

	private static final EventLog eventLog = EventLog.of(SettingsReload.class);

	private static final long CHECK_MILLIS = 2_000;

	private final Path file;

	private final Consumer<DaemonSettings> listener;

	private final EventLoop loop = new EventLoop(NAME);

	// Used on the thread of the loop only.
	private FileTime lastModified = FileTime.fromMillis(0);

	/**
	 * Creates the service.
	 * @param file the settings file
	 * @param listener takes the settings each time they were read again
	 */
	public SettingsReload(Path file, Consumer<DaemonSettings> listener) {
		this.file = file;
		this.listener = listener;
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		this.lastModified = modified();
		Signal.handle(new Signal("HUP"), (signal) -> this.loop.execute(() -> reload("signal")));
		this.loop.scheduleWithFixedDelay(CHECK_MILLIS, this::reloadIfModified);
	}

	private void reloadIfModified() {
		if (!modified().equals(this.lastModified)) {
			reload("file");
		}
	}

	private FileTime modified() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			eventLog.failure("settings-not-found", ex).write();
			return this.lastModified;
		}
	}

	private void reload(String cause) {
		this.lastModified = modified();
		try {
			this.listener.accept(SettingsReader.read(this.file));
			eventLog.information("reloaded").with("cause", cause).write();
		}
		catch (FindingsException ex) {
			eventLog.warning("reload-refused").with("cause", cause).with("findings", ex.getMessage()).write();
		}
	}

	@Override
	public void stop() {
		this.loop.stop();
	}

}
