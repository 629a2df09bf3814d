package org.radishthread.daemon.extension;

import java.util.Optional;
import java.util.ServiceLoader;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.RadishthreadException;

/**
 * Loads the extension that the settings select.
 */
public final class ExtensionLoader {

	private ExtensionLoader() {
	}

	/**
	 * Loads the extension that the settings select.
	 * @param settings the settings of the instance
	 * @return the extension, or empty if the settings select none
	 * @throws RadishthreadException if the extension is not on the class path
	 */
	public static Optional<DaemonExtension> load(DaemonSettings settings) {
		DaemonSettings.ExtensionSettings extensionSettings = settings.extension();
		if (extensionSettings == null) {
			return Optional.empty();
		}
		return Optional.of(ServiceLoader.load(DaemonExtension.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.filter((extension) -> extension.name().equals(extensionSettings.name()))
			.findFirst()
			.orElseThrow(() -> new MissingExtensionException(extensionSettings.name())));
	}

}
