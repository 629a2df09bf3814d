package org.radishthread.kernel;

/**
 * A component of the daemon whose lifecycle the {@link Kernel} manages.
 */
public interface Service {

	/**
	 * Returns the name by which the {@link Kernel} identifies this service.
	 * @return a name that is unique within the kernel
	 */
	String name();

	/**
	 * Starts this service. The services registered before it have been started.
	 */
	void start();

	/**
	 * Stops this service. The services registered after it have been stopped.
	 */
	void stop();

}
