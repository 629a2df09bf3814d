package org.radishthread.daemon.http;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.RadishthreadException;
import org.radishthread.kernel.Service;

/**
 * An HTTP server with one handler and a small thread pool. It is meant for operators,
 * upstreams and health checks; callers connect to the gateway's own server.
 */
public final class HttpServer implements Service {

	private static final int MINIMUM_THREADS = 2;

	private final String name;

	private final NetworkAddress address;

	private final Server server;

	/**
	 * Creates a server, which {@link #start()} makes listen.
	 * @param name the name of the service and of its threads
	 * @param address the address on which to listen
	 * @param maximumThreads the greatest number of threads
	 * @param handler handles the requests
	 */
	public HttpServer(String name, NetworkAddress address, int maximumThreads, Handler handler) {
		this.name = name;
		this.address = address;
		QueuedThreadPool pool = new QueuedThreadPool(maximumThreads, MINIMUM_THREADS);
		pool.setName(name);
		pool.setDaemon(true);
		this.server = new Server(pool);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setSendServerVersion(false);
		ServerConnector connector = new ServerConnector(this.server, 1, 1,
				new BudgetedHttpConnectionFactory(name, configuration));
		connector.setHost(address.host());
		connector.setPort(address.port());
		this.server.addConnector(connector);
		this.server.setHandler(handler);
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public void start() {
		try {
			this.server.start();
		}
		catch (Exception ex) {
			throw new HttpServerException("HTTP server cannot listen on " + this.address + " for '" + this.name + "'.",
					ex);
		}
	}

	@Override
	public void stop() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new HttpServerException(
					"HTTP server on " + this.address + " for '" + this.name + "' cannot be stopped.", ex);
		}
	}

	/**
	 * Thrown when a server cannot be started or stopped.
	 */
	public static class HttpServerException extends RadishthreadException {

		HttpServerException(String message, Throwable cause) {
			super(message, cause);
		}

	}

}
