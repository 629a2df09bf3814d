package org.radishthread.kernel;

/**
 * A part of the daemon that the {@link Kernel} starts, finds by name and stops.
 */
public interface Service {

	/**
	 * Returns the name under which other services find this one.
	 * @return a name that is unique within the kernel
	 */
	String name();

	/**
	 * Starts this service; the services registered before it are running.
	 */
	void start();

	/**
	 * Stops this service; the services registered after it are stopped.
	 */
	void stop();

}
