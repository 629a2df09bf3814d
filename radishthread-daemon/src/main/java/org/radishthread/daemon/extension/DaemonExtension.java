package org.radishthread.daemon.extension;

import java.util.Optional;

import org.radishthread.daemon.gateway.HttpDialect;
import org.radishthread.kernel.Service;

/**
 * Adapts the daemon to the protocols of a platform. Implementations only translate: they
 * keep no state, make no decisions and retry nothing. They are loaded by
 * {@link java.util.ServiceLoader} and need a constructor without parameters.
 */
public interface DaemonExtension {

	/**
	 * Returns the name by which the settings select this extension.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the HTTP headers and conventions of the platform's callers and upstreams.
	 * @return the dialect
	 */
	HttpDialect dialect();

	/**
	 * Creates the service that implements the platform's own interface.
	 * @param context the settings and services of the daemon
	 * @return the service, or empty if this instance does not provide the interface
	 */
	Optional<Service> createService(ExtensionContext context);

}
