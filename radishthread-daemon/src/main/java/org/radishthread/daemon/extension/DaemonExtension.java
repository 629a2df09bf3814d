package org.radishthread.daemon.extension;

import java.util.Optional;

import org.radishthread.daemon.gateway.HttpDialect;
import org.radishthread.kernel.Service;

/**
 * Lets the daemon speak the protocols of a platform. Implementations translate only: they
 * hold no state, decide nothing and repeat nothing. They are found by
 * {@link java.util.ServiceLoader} and need a constructor without parameters.
 */
public interface DaemonExtension {

	/**
	 * Returns the name by which settings choose this extension.
	 * @return the name
	 */
	String name();

	/**
	 * Returns how callers and upstreams of the platform name things.
	 * @return the dialect
	 */
	HttpDialect dialect();

	/**
	 * Creates the service that serves the interface of the platform.
	 * @param context what the service may use
	 * @return the service, or empty if this instance does not serve it
	 */
	Optional<Service> createService(ExtensionContext context);

}
