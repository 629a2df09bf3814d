package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;
import org.radishthread.membership.ServingState;

/**
 * Tells the platform's balancer on a port of its own whether this instance is ready,
 * whatever the path.
 */
public final class ReadinessServer implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "readiness";

	private static final int THREADS = 4;

	private final NetworkAddress address;

	private final Server server;

	public ReadinessServer(NetworkAddress address, ClusterService cluster) {
		this.address = address;
		QueuedThreadPool threads = new QueuedThreadPool(THREADS, 1);
		threads.setName("readiness");
		threads.setDaemon(true);
		this.server = new Server(threads);
		ServerConnector connector = new ServerConnector(this.server, 1, 1,
				new HttpConnectionFactory(new HttpConfiguration()));
		connector.setHost(address.host());
		connector.setPort(address.port());
		this.server.addConnector(connector);
		this.server.setHandler(new Handler.Abstract.NonBlocking() {

			@Override
			public boolean handle(Request request, Response response, Callback callback) {
				boolean ready = cluster.servingState() == ServingState.READY;
				response.setStatus(ready ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
				callback.succeeded();
				return true;
			}

		});
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		try {
			this.server.start();
		}
		catch (Exception ex) {
			throw new GatewayException("Port " + this.address + " for readiness can not be opened.", ex);
		}
	}

	@Override
	public void stop() {
		try {
			this.server.stop();
		}
		catch (Exception ex) {
			throw new GatewayException("The port for readiness can not be closed.", ex);
		}
	}

}
