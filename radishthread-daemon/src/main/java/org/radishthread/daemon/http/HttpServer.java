package org.radishthread.daemon.http;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.RadishthreadException;
import org.radishthread.kernel.Service;

/**
 * Serves one handler on one port, with few threads; for operators, upstreams and health
 * checks rather than for callers.
 */
public final class HttpServer implements Service {

	private static final int MINIMUM_THREADS = 2;

	private final String name;

	private final NetworkAddress address;

	private final Server server;

	/**
	 * Creates a port.
	 * @param name the name of the service, also of its threads
	 * @param address where to listen
	 * @param threads the greatest number of threads
	 * @param handler answers the requests
	 */
	public HttpServer(String name, NetworkAddress address, int threads, Handler handler) {
		this.name = name;
		this.address = address;
		QueuedThreadPool pool = new QueuedThreadPool(threads, MINIMUM_THREADS);
		pool.setName(name);
		pool.setDaemon(true);
		this.server = new Server(pool);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setSendServerVersion(false);
		ServerConnector connector = new ServerConnector(this.server, 1, 1, new HttpConnectionFactory(configuration));
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
			throw new HttpServerException("Port " + this.address + " for " + this.name + " can not be opened.", ex);
		}
	}

	@Override
	public void stop() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new HttpServerException("Port " + this.address + " for " + this.name + " can not be closed.", ex);
		}
	}

	/**
	 * Signals that a port can not be opened or closed.
	 */
	public static class HttpServerException extends RadishthreadException {

		HttpServerException(String message, Throwable cause) {
			super(message, cause);
		}

	}

}
