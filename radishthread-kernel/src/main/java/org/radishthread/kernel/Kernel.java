package org.radishthread.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Manages the lifecycle of named services: starts them in the order of their registration
 * and stops them in reverse order.
 */
public final class Kernel {

	private static final EventLog eventLog = EventLog.of(Kernel.class);

	private final Map<String, Service> services = new LinkedHashMap<>();

	private final Deque<Service> startedServices = new ArrayDeque<>();

	/**
	 * Registers a service.
	 * @param service the service
	 * @throws IllegalArgumentException if a service of that name is registered already
	 */
	public void register(Service service) {
		boolean added = this.services.putIfAbsent(service.name(), service) == null;
		Assert.isTrue(added, "Service name '" + service.name() + "' must be unique.");
	}

	/**
	 * Returns the service with a name.
	 * @param <T> the type of the service
	 * @param name the name
	 * @param type the expected type
	 * @return the service
	 * @throws IllegalArgumentException if there is no such service of that type
	 */
	public <T extends Service> T find(String name, Class<T> type) {
		Service service = this.services.get(name);
		Assert.isTrue(type.isInstance(service),
				"No service named '" + name + "' of type " + type.getSimpleName() + ".");
		return type.cast(service);
	}

	/**
	 * Starts all services. If one fails to start, stops those already started and throws
	 * the exception of the failed one.
	 */
	public void start() {
		for (Service service : this.services.values()) {
			startOrStopAll(service);
		}
	}

	private void startOrStopAll(Service service) {
		try {
			service.start();
			this.startedServices.push(service);
		}
		catch (RuntimeException ex) {
			stop();
			throw ex;
		}
	}

	/**
	 * Stops the started services in reverse order. If one fails to stop, its exception is
	 * logged and the others are stopped nevertheless.
	 */
	public void stop() {
		while (!this.startedServices.isEmpty()) {
			stopService(this.startedServices.pop());
		}
	}

	private void stopService(Service service) {
		try {
			service.stop();
		}
		catch (RuntimeException ex) {
			eventLog.failure("service-stop-failed", ex).with("service", service.name()).write();
		}
	}

}
