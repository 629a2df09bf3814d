package org.radishthread.daemon.gateway;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.http.BudgetedHttpConnectionFactory;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;

/**
 * HTTP server for callers. On stop it reports that it is no longer ready, closes its port
 * after the shutdown delay, refuses new requests on open connections, and waits for the
 * requests in progress until the shutdown timeout. Each of them gets a response: one that
 * is still in progress then is ended, and its caller is told whether it may have run.
 */
public final class GatewayServer implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "gateway";

	private static final EventLog eventLog = EventLog.of(GatewayServer.class);

	private static final long CONNECTION_IDLE_TIMEOUT_MILLIS = 120_000;

	private static final long DRAIN_CHECK_INTERVAL_MILLIS = 20;

	// The time to write the responses of the requests that were ended. A part of the time
	// that the settings leave between the shutdown timeout and the end of the process.
	private static final long FINAL_RESPONSES_MILLIS = 200;

	static final int MAXIMUM_REQUEST_HEADER_BYTES = 64 * 1024;

	private static final int MAXIMUM_THREADS = 32;

	private final DaemonSettings settings;

	private final ClusterService cluster;

	private final GatewayContext context;

	private final GatewayHandler handler;

	private final Server server;

	private final ServerConnector connector;

	public GatewayServer(DaemonSettings settings, GatewayContext context, ClusterService cluster) {
		this.settings = settings;
		this.cluster = cluster;
		this.context = context;
		this.handler = new GatewayHandler(context, cluster);
		QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, 4);
		threads.setName("caller");
		threads.setDaemon(true);
		this.server = new Server(threads);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setSendServerVersion(false);
		// The path is forwarded unchanged; interpreting it is left to the upstream.
		configuration.setUriCompliance(UriCompliance.UNSAFE);
		configuration.setRequestHeaderSize(MAXIMUM_REQUEST_HEADER_BYTES);
		this.connector = new ServerConnector(this.server, 1, 1,
				new BudgetedHttpConnectionFactory(NAME, configuration)) {

			@Override
			protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector,
					SelectionKey key) {
				SocketChannelEndPoint endPoint = new CallerEndPoint(channel, selector, key, getScheduler(),
						context.buffers().newReservation());
				endPoint.setIdleTimeout(getIdleTimeout());
				return endPoint;
			}

		};
		NetworkAddress address = Objects.requireNonNull(settings.callerAddress());
		this.connector.setHost(address.host());
		this.connector.setPort(address.port());
		this.connector.setIdleTimeout(CONNECTION_IDLE_TIMEOUT_MILLIS);
		// A connection whose request waits for an upstream counts as idle, so a shorter
		// timeout on shutdown would abort requests in progress.
		this.connector.setShutdownIdleTimeout(CONNECTION_IDLE_TIMEOUT_MILLIS);
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
			throw new GatewayException("Port " + this.settings.callerAddress() + " for callers cannot be opened.", ex);
		}
	}

	@Override
	public void stop() {
		this.cluster.leave();
		long timeoutMillis = this.settings.limits().shutdownTimeoutMillis();
		long endNanos = this.context.time().monotonicNanos()
				+ TimeUnit.MILLISECONDS.toNanos(this.settings.limits().shutdownDelayMillis() + timeoutMillis);
		if (timeoutMillis > 0) {
			this.context.openExchanges().stopAt(endNanos);
		}
		try {
			TimeUnit.MILLISECONDS.sleep(this.settings.limits().shutdownDelayMillis());
			this.handler.refuseNewRequests();
			this.connector.shutdown();
			awaitOpenRequests(endNanos);
			this.server.stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (Exception ex) {
			throw new GatewayException("The server for callers cannot be stopped.", ex);
		}
	}

	private void awaitOpenRequests(long endNanos) throws InterruptedException {
		eventLog.information("draining").with("open-requests", this.handler.openRequestCount()).write();
		while (this.handler.openRequestCount() > 0 && !isTimeOver(endNanos)) {
			TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_INTERVAL_MILLIS);
		}
		eventLog.information("drained").with("open-requests", this.handler.openRequestCount()).write();
	}

	private boolean isTimeOver(long endNanos) {
		return this.settings.limits().shutdownTimeoutMillis() > 0 && this.context.time().monotonicNanos()
				- endNanos > TimeUnit.MILLISECONDS.toNanos(FINAL_RESPONSES_MILLIS);
	}

}
