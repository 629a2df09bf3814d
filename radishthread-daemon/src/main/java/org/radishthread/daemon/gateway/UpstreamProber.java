package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.Upstream;

/**
 * Probes upstreams: whether a connection can be opened, and how fast they work. Safe for
 * use by several threads.
 */
final class UpstreamProber {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	// About seventy round trips between availability zones. It delays a response.
	private static final int REFUSAL_TIMEOUT_MILLIS = 100;

	// A pace that arrives later is out of date.
	private static final int PACE_TIMEOUT_MILLIS = 250;

	private final UpstreamClients clients;

	private final HttpDialect dialect;

	private final Counter probeCounter;

	private static final ExecutorService executor = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "probe");
		thread.setDaemon(true);
		return thread;
	});

	UpstreamProber(UpstreamClients clients, HttpDialect dialect, MeterRegistry meters) {
		this.clients = clients;
		this.dialect = dialect;
		this.probeCounter = meters.counter("radishthread.probes");
	}

	CompletableFuture<Boolean> probeReachability(Upstream upstream) {
		this.probeCounter.increment();
		return connect(NetworkAddress.parse(upstream.address()));
	}

	// Tells whether a connection can be opened.
	static CompletableFuture<Boolean> connect(NetworkAddress address) {
		return CompletableFuture.supplyAsync(() -> isReachable(address), executor);
	}

	private static boolean isReachable(NetworkAddress address) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Finds out whether an address refuses connections, as it does once the process that
	 * listened there has ended.
	 * @param address the address
	 * @return whether it certainly refuses them; {@code false} also if there is no result
	 * in time
	 */
	static CompletableFuture<Boolean> refusesConnections(NetworkAddress address) {
		return CompletableFuture.supplyAsync(() -> isRefused(address), executor);
	}

	private static boolean isRefused(NetworkAddress address) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(address.host(), address.port()), REFUSAL_TIMEOUT_MILLIS);
			return false;
		}
		catch (ConnectException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Requests a load report, which states the pace of an upstream: its current service
	 * time relative to the usual one.
	 * @param upstream the upstream
	 * @param path the path of the request
	 * @return the load report; never completed if the upstream does not send one in time
	 */
	CompletableFuture<LoadReport> probePace(Upstream upstream, String path) {
		this.probeCounter.increment();
		CompletableFuture<LoadReport> result = new CompletableFuture<>();
		this.clients.request(NetworkAddress.parse(upstream.address()), false, path)
			.timeout(PACE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.onResponseHeaders((response) -> {
				LoadReport loadReport = this.dialect.loadReport(response.getStatus(), response.getHeaders());
				if (loadReport != null) {
					result.complete(loadReport);
				}
			})
			.send((completion) -> {
			});
		return result;
	}

}
