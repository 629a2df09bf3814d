package org.radishthread.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Starts named services in the order of their registration and stops them in reverse.
 */
public final class Kernel {

	private static final EventLog eventLog = EventLog.of(Kernel.class);

	private final Map<String, Service> services = new LinkedHashMap<>();

	private final Deque<Service> started = new ArrayDeque<>();

	/**
	 * Registers a service.
	 * @param service the service
	 * @throws IllegalArgumentException if the name is taken
	 */
	public void register(Service service) {
		boolean vacant = this.services.putIfAbsent(service.name(), service) == null;
		Assert.isTrue(vacant, "Service name '" + service.name() + "' must be unique.");
	}

	/**
	 * Finds a service by its name.
	 * @param <T> the type of the service
	 * @param name the name
	 * @param type the type that the caller expects
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
	 * Starts all services. If one fails, those already started are stopped again.
	 */
	public void start() {
		for (Service service : this.services.values()) {
			startOrStopAll(service);
		}
	}

	private void startOrStopAll(Service service) {
		try {
			service.start();
			this.started.push(service);
		}
		catch (RuntimeException ex) {
			stop();
			throw ex;
		}
	}

	/**
	 * Stops the started services in reverse order; a failure does not keep the others
	 * from being stopped.
	 */
	public void stop() {
		while (!this.started.isEmpty()) {
			stopOne(this.started.pop());
		}
	}

	private void stopOne(Service service) {
		try {
			service.stop();
		}
		catch (RuntimeException ex) {
			eventLog.failure("service-stop-failed", ex).with("service", service.name()).write();
		}
	}

}
