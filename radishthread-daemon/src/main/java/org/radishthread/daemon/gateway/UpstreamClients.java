package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.radishthread.daemon.peer.RelayHandshake;
import org.radishthread.daemon.peer.UpstreamConnectionListener;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;

/**
 * HTTP clients for upstreams: one with pooled connections, and one that opens a
 * connection for each request. The latter is used for once-only requests, retries and
 * hedges, because a pooled connection may have been lost unnoticed.
 */
public final class UpstreamClients implements Service {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "upstream-clients";

	private static final int MAXIMUM_CONNECTIONS_PER_UPSTREAM = 512;

	// About a hundred round trips between availability zones. A lost packet is sent again
	// only after a second, so a somewhat longer timeout would expire on a loss as well.
	private static final int CONNECT_TIMEOUT_MILLIS = 300;

	private static final long CONNECTION_IDLE_TIMEOUT_MILLIS = 30_000;

	// A head grows when it is forwarded: a space after each name, and the headers that
	// describe the attempt.
	private static final int MAXIMUM_REQUEST_HEADER_BYTES = 2 * GatewayServer.MAXIMUM_REQUEST_HEADER_BYTES;

	// As for the requests of callers. Also limits trailers.
	private static final int MAXIMUM_RESPONSE_HEADER_BYTES = 64 * 1_024;

	// The index of this cache takes 96 bytes for each character, for each connection.
	private static final int HEADER_CACHE_CHARACTERS = 0;

	private static final int MAXIMUM_THREADS = 16;

	private final RelayHandshake relayHandshake;

	private final Set<String> knownRelays = ConcurrentHashMap.newKeySet();

	private final HttpClient pooledClient;

	private final HttpClient singleUseClient;

	public UpstreamClients(RelayHandshake relayHandshake, UpstreamConnectionListener listener) {
		this.relayHandshake = relayHandshake;
		this.pooledClient = new HttpClient(transport(listener));
		this.singleUseClient = new HttpClient(transport(listener));
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		configure(this.pooledClient, "upstream-kept", Integer.MAX_VALUE);
		configure(this.singleUseClient, "upstream-new", 1);
	}

	private static HttpClientTransportOverHTTP transport(UpstreamConnectionListener listener) {
		UpstreamConnector connector = new UpstreamConnector(listener);
		connector.setSelectors(1);
		HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
		transport.setHeaderCacheSize(HEADER_CACHE_CHARACTERS);
		return transport;
	}

	private static void configure(HttpClient client, String name, int maximumUsesPerConnection) {
		QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, 4);
		threads.setName(name);
		threads.setDaemon(true);
		client.setExecutor(threads);
		client.setFollowRedirects(false);
		client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
		client.setIdleTimeout(CONNECTION_IDLE_TIMEOUT_MILLIS);
		client.setMaxRequestHeadersSize(MAXIMUM_REQUEST_HEADER_BYTES);
		client.setMaxResponseHeadersSize(MAXIMUM_RESPONSE_HEADER_BYTES);
		client.setUserAgentField(null);
		client.setHttpCookieStore(new HttpCookieStore.Empty());
		client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_UPSTREAM);
		client.setDestinationIdleTimeout(CONNECTION_IDLE_TIMEOUT_MILLIS * 2);
		client.getTransport()
			.setConnectionPoolFactory((destination) -> connectionPool(destination, maximumUsesPerConnection));
		try {
			client.start();
		}
		catch (Exception ex) {
			throw new GatewayException("The HTTP client for upstreams cannot be started.", ex);
		}
		client.getContentDecoderFactories().clear();
		client.getProtocolHandlers().clear();
	}

	private static ConnectionPool connectionPool(Destination destination, int maximumUsesPerConnection) {
		IdleTrackingConnectionPool pool = new IdleTrackingConnectionPool(destination, MAXIMUM_CONNECTIONS_PER_UPSTREAM);
		if (maximumUsesPerConnection != Integer.MAX_VALUE) {
			pool.setMaxUsage(maximumUsesPerConnection);
		}
		return pool;
	}

	Request request(NetworkAddress address, boolean useNewConnection, String pathAndQuery) {
		HttpClient client = useNewConnection ? this.singleUseClient : this.pooledClient;
		return new RawPathRequest(client, address, pathAndQuery);
	}

	// Connects through another instance, named by its peer address.
	Request relayedRequest(NetworkAddress address, boolean useNewConnection, String pathAndQuery, String relay) {
		if (this.knownRelays.add(relay)) {
			for (HttpClient client : List.of(this.pooledClient, this.singleUseClient)) {
				client.getProxyConfiguration().addProxy(new RelayProxy(relay, this.relayHandshake));
			}
		}
		return request(address, useNewConnection, pathAndQuery).tag(relay);
	}

	// Called when an attempt on a pooled connection completed without any response: idle
	// connections of the same age are likely to be lost too.
	void closeIdleConnections(NetworkAddress address) {
		for (Destination destination : this.pooledClient.getDestinations()) {
			boolean sameAddress = destination.getOrigin().getAddress().getPort() == address.port()
					&& destination.getOrigin().getAddress().getHost().equals(address.host());
			if (sameAddress && destination.getConnectionPool() instanceof IdleTrackingConnectionPool pool) {
				pool.closeIdleConnections();
			}
		}
	}

	@Override
	public void stop() {
		try {
			this.pooledClient.stop();
			this.singleUseClient.stop();
		}
		catch (Exception ex) {
			throw new GatewayException("The HTTP clients for upstreams cannot be stopped.", ex);
		}
	}

}
