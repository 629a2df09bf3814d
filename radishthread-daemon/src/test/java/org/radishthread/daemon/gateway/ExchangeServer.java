package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.peer.RelayHandshake;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.kernel.SystemTimeSource;
import org.radishthread.kernel.TimeSource;
import org.radishthread.rules.KeyDecision;
import org.radishthread.rules.KeyOutcome;
import org.radishthread.rules.PathPattern;
import org.radishthread.rules.RouteLimits;
import org.radishthread.rules.RouteMatch;
import org.radishthread.rules.RouteMode;
import org.radishthread.rules.RouteRule;
import org.radishthread.rules.WeightedService;

/**
 * A server for callers on loopback, configured as {@link GatewayServer} is, that starts a
 * {@link RoutedExchange} for each request. The test decides as its router. The services
 * of the instance are not started.
 */
final class ExchangeServer {

	/**
	 * The size up to which a response is buffered, in bytes.
	 */
	static final int RESPONSE_BUFFER_BYTES = 4_096;

	private static final int REQUEST_HEADER_BYTES = 64 * 1_024;

	private static final long WAIT_SECONDS = 10;

	private static final String SETTINGS = """
			instance: gateway-1
			zone: bastrop
			roles: [gateway]
			listen: {caller: "127.0.0.1:0", administration: "127.0.0.1:0", peer: "127.0.0.1:0"}
			seeds: ["127.0.0.1:1"]
			secrets: {peer: token, administration: token, announcement: token}
			limits: {held-answer-bytes: %d}
			""".formatted(RESPONSE_BUFFER_BYTES);

	private final Server server = new Server();

	private final ServerConnector connector;

	private final UpstreamClients clients;

	private final GatewayContext context;

	private final BlockingQueue<RoutedExchange> exchanges = new LinkedBlockingQueue<>();

	/**
	 * Creates a server.
	 * @param folder a folder for the settings
	 * @param router the router of all requests
	 * @param leader the leader of the control group, which keeps the claims
	 * @param mode the mode of all requests
	 * @param timeout the timeout of all requests
	 * @throws IOException if the settings cannot be written
	 */
	ExchangeServer(Path folder, RequestRouter router, ClaimService.LeaderRequests leader, RouteMode mode,
			Duration timeout) throws IOException {
		Files.writeString(folder.resolve("token"), "long-enough\n");
		DaemonSettings settings = SettingsReader.read(Files.writeString(folder.resolve("settings.yaml"), SETTINGS));
		TimeSource time = new SystemTimeSource();
		MeterRegistry meters = new SimpleMeterRegistry();
		ReachabilityMonitor reachability = new ReachabilityMonitor(settings.instance(), time);
		this.clients = new UpstreamClients(new RelayHandshake(settings), reachability);
		this.context = context(settings, reachability, leader, time, meters);
		RouteRule route = new RouteRule(1, "orders", List.of(new WeightedService("orders", 1)),
				new RouteMatch("", "*", new PathPattern("/**")), mode, RouteLimits.ofTimeout(timeout), "", false);
		this.connector = newConnector();
		this.server.addConnector(this.connector);
		this.server.setHandler(new ExchangeHandler(route, router));
	}

	private GatewayContext context(DaemonSettings settings, ReachabilityMonitor reachability,
			ClaimService.LeaderRequests leader, TimeSource time, MeterRegistry meters) {
		HttpDialect dialect = new DefaultHttpDialect();
		PeerTransport transport = new PeerTransport(settings, meters);
		ClusterService cluster = new ClusterService(settings, transport, time, 1);
		RoutingService routing = new RoutingService(settings, this.clients, dialect,
				new AllotmentService(settings, transport, cluster, time, meters),
				new CrashExchange(settings, transport, cluster, time), reachability, time, meters);
		return new GatewayContext(settings, routing, this.clients, new ClaimService(settings.instance(), leader),
				new SlotService(settings, transport, cluster, routing, reachability, time),
				new CallerKeys(cluster, routing, dialect, time, meters), dialect, BufferBudget.ofHeap(), time, meters);
	}

	private ServerConnector newConnector() {
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setSendServerVersion(false);
		configuration.setUriCompliance(UriCompliance.UNSAFE);
		configuration.setRequestHeaderSize(REQUEST_HEADER_BYTES);
		ServerConnector newConnector = new ServerConnector(this.server, 1, 1,
				new HttpConnectionFactory(configuration)) {

			@Override
			protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector,
					SelectionKey key) {
				SocketChannelEndPoint endPoint = new CallerEndPoint(channel, selector, key, getScheduler(),
						ExchangeServer.this.context.buffers().newReservation());
				endPoint.setIdleTimeout(getIdleTimeout());
				return endPoint;
			}

		};
		newConnector.setHost("127.0.0.1");
		return newConnector;
	}

	void start() throws Exception {
		this.clients.start();
		this.server.start();
	}

	void stop() throws Exception {
		this.server.stop();
		this.clients.stop();
		this.context.scheduler().shutdownNow();
	}

	/**
	 * Stops the server for callers only, at once.
	 * @throws Exception if it cannot be stopped
	 */
	void stopServer() throws Exception {
		this.server.stop();
	}

	int port() {
		return this.connector.getLocalPort();
	}

	/**
	 * Sets how long a connection of a caller may be idle.
	 * @param millis the time, in milliseconds
	 */
	void setIdleTimeout(long millis) {
		this.connector.setIdleTimeout(millis);
	}

	/**
	 * Ends all requests as at the stop of the instance.
	 */
	void stopInstance() {
		this.context.openExchanges().stopAt(this.context.time().monotonicNanos());
	}

	/**
	 * Waits for the next request.
	 * @return its exchange
	 * @throws InterruptedException if the thread is interrupted
	 */
	RoutedExchange awaitExchange() throws InterruptedException {
		RoutedExchange exchange = this.exchanges.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		if (exchange == null) {
			throw new IllegalStateException("No request has arrived.");
		}
		return exchange;
	}

	private final class ExchangeHandler extends Handler.Abstract.NonBlocking {

		private final RouteRule route;

		private final RequestRouter router;

		private ExchangeHandler(RouteRule route, RequestRouter router) {
			this.route = route;
			this.router = router;
		}

		@Override
		public boolean handle(Request request, Response response, Callback callback) {
			GatewayContext context = ExchangeServer.this.context;
			RoutedExchange exchange = new RoutedExchange(context, this.route,
					new KeyDecision(KeyOutcome.NOT_REQUIRED, null),
					new ArrivedRequest(request, response, callback, context.time().monotonicNanos()), this.router);
			ExchangeServer.this.exchanges.add(exchange);
			exchange.start();
			return true;
		}

	}

}
