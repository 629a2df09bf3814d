package org.radishthread.daemon.extension;

import java.util.Optional;
import java.util.ServiceLoader;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.RadishthreadException;

/**
 * Finds the extension that the settings name.
 */
public final class ExtensionLoader {

	private ExtensionLoader() {
	}

	/**
	 * Finds the extension in use.
	 * @param settings the settings of the instance
	 * @return the extension, or empty if the settings name none
	 * @throws RadishthreadException if the class path has no such extension
	 */
	public static Optional<DaemonExtension> load(DaemonSettings settings) {
		DaemonSettings.ExtensionSettings wanted = settings.extension();
		if (wanted == null) {
			return Optional.empty();
		}
		return Optional.of(ServiceLoader.load(DaemonExtension.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.filter((extension) -> extension.name().equals(wanted.name()))
			.findFirst()
			.orElseThrow(() -> new MissingExtensionException(wanted.name())));
	}

}
