package org.radishthread.daemon.gateway;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;

/**
 * Listens for callers. On stop it first says that it is no longer ready, then closes its
 * port and refuses what still comes on open connections, then waits for the requests that
 * are under way.
 */
public final class GatewayServer implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "gateway";

	private static final EventLog eventLog = EventLog.of(GatewayServer.class);

	private static final long CONNECTION_IDLE_MILLIS = 120_000;

	private static final long STOP_CHECK_MILLIS = 20;

	private static final int REQUEST_HEADER_BYTES = 64 * 1024;

	private static final int THREADS = 32;

	private final DaemonSettings settings;

	private final ClusterService cluster;

	private final GatewayHandler handler;

	private final Server server;

	private final ServerConnector connector;

	public GatewayServer(DaemonSettings settings, GatewayContext context, ClusterService cluster) {
		this.settings = settings;
		this.cluster = cluster;
		this.handler = new GatewayHandler(context, cluster);
		QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
		threads.setName("caller");
		threads.setDaemon(true);
		this.server = new Server(threads);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setSendServerVersion(false);
		// The path goes on as it came; whoever runs the request interprets it.
		configuration.setUriCompliance(UriCompliance.UNSAFE);
		configuration.setRequestHeaderSize(REQUEST_HEADER_BYTES);
		this.connector = new ServerConnector(this.server, 1, 1, new HttpConnectionFactory(configuration)) {

			@Override
			protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector,
					SelectionKey key) {
				SocketChannelEndPoint endPoint = new CallerEndPoint(channel, selector, key, getScheduler());
				endPoint.setIdleTimeout(getIdleTimeout());
				return endPoint;
			}

		};
		NetworkAddress address = Objects.requireNonNull(settings.callerAddress());
		this.connector.setHost(address.host());
		this.connector.setPort(address.port());
		this.connector.setIdleTimeout(CONNECTION_IDLE_MILLIS);
		// On shutdown a connection whose request waits for its upstream is idle, too.
		this.connector.setShutdownIdleTimeout(CONNECTION_IDLE_MILLIS);
		this.server.addConnector(this.connector);
		this.server.setHandler(this.handler);
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
			throw new GatewayException("Port " + this.settings.callerAddress() + " for callers can not be opened.", ex);
		}
	}

	@Override
	public void stop() {
		this.cluster.leave();
		try {
			TimeUnit.MILLISECONDS.sleep(this.settings.limits().shutdownDelayMillis());
			this.handler.refuseNewRequests();
			this.connector.shutdown();
			awaitOpenRequests();
			this.server.stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (Exception ex) {
			throw new GatewayException("The port for callers can not be closed.", ex);
		}
	}

	private void awaitOpenRequests() throws InterruptedException {
		long limit = this.settings.limits().shutdownTimeoutMillis();
		long deadline = (limit == 0) ? Long.MAX_VALUE : System.currentTimeMillis() + limit;
		eventLog.information("draining").with("open", this.handler.openRequests()).write();
		while (this.handler.openRequests() > 0 && System.currentTimeMillis() < deadline) {
			TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
		}
		eventLog.information("drained").with("open", this.handler.openRequests()).write();
	}

}
