package org.radishthread.daemon.gateway;

import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;

/**
 * Connections to upstreams: kept ones for requests that may repeat, and a new one for
 * each request that runs at most once or follows one that went silent.
 */
public final class UpstreamClients implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "upstream-clients";

	private static final int CONNECTIONS_PER_UPSTREAM = 512;

	// A hundred round trips between availability zones; a lost packet is sent again only
	// after a second.
	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private static final long KEPT_IDLE_MILLIS = 30_000;

	private static final int THREADS = 16;

	private final HttpClient kept = new HttpClient(transport());

	private final HttpClient fresh = new HttpClient(transport());

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		configure(this.kept, "upstream-kept", Integer.MAX_VALUE);
		configure(this.fresh, "upstream-new", 1);
	}

	private static HttpClientTransportOverHTTP transport() {
		UpstreamConnector connector = new UpstreamConnector();
		connector.setSelectors(1);
		return new HttpClientTransportOverHTTP(connector);
	}

	private static void configure(HttpClient client, String name, int usesPerConnection) {
		QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
		threads.setName(name);
		threads.setDaemon(true);
		client.setExecutor(threads);
		client.setFollowRedirects(false);
		client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
		client.setIdleTimeout(KEPT_IDLE_MILLIS);
		client.setUserAgentField(null);
		client.setHttpCookieStore(new HttpCookieStore.Empty());
		client.setMaxConnectionsPerDestination(CONNECTIONS_PER_UPSTREAM);
		client.setDestinationIdleTimeout(KEPT_IDLE_MILLIS * 2);
		client.getTransport().setConnectionPoolFactory((destination) -> pool(destination, usesPerConnection));
		try {
			client.start();
		}
		catch (Exception ex) {
			throw new GatewayException("The client for upstreams can not be started.", ex);
		}
		client.getContentDecoderFactories().clear();
		client.getProtocolHandlers().clear();
	}

	private static ConnectionPool pool(Destination destination, int usesPerConnection) {
		KeptConnectionPool pool = new KeptConnectionPool(destination, CONNECTIONS_PER_UPSTREAM);
		if (usesPerConnection != Integer.MAX_VALUE) {
			pool.setMaxUsage(usesPerConnection);
		}
		return pool;
	}

	Request request(NetworkAddress address, boolean onNewConnection) {
		HttpClient client = onNewConnection ? this.fresh : this.kept;
		return client.newRequest(address.host(), address.port());
	}

	// Closes the kept connections to an upstream that nobody uses: if one of them went
	// silent, the others of its age are likely to be silent too.
	void distrustKept(NetworkAddress address) {
		for (Destination destination : this.kept.getDestinations()) {
			boolean same = destination.getOrigin().getAddress().getPort() == address.port()
					&& destination.getOrigin().getAddress().getHost().equals(address.host());
			if (same && destination.getConnectionPool() instanceof KeptConnectionPool pool) {
				pool.closeIdle();
			}
		}
	}

	@Override
	public void stop() {
		try {
			this.kept.stop();
			this.fresh.stop();
		}
		catch (Exception ex) {
			throw new GatewayException("The client for upstreams can not be stopped.", ex);
		}
	}

}
