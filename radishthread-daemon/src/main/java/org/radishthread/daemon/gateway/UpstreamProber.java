package org.radishthread.daemon.gateway;

import java.io.IOException;
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
 * Finds out whether an upstream can be reached, by opening a connection to it.
 */
final class UpstreamProber {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	// Older news of the pace is of no use.
	private static final int PACE_TIMEOUT_MILLIS = 250;

	private final UpstreamClients clients;

	private final HttpDialect dialect;

	private final Counter probes;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "probe");
		thread.setDaemon(true);
		return thread;
	});

	UpstreamProber(UpstreamClients clients, HttpDialect dialect, MeterRegistry meters) {
		this.clients = clients;
		this.dialect = dialect;
		this.probes = meters.counter("radishthread.probes");
	}

	CompletableFuture<Boolean> probe(Upstream upstream) {
		this.probes.increment();
		return CompletableFuture.supplyAsync(() -> isReachable(NetworkAddress.parse(upstream.address())), this.threads);
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
	 * Asks an upstream how fast it works.
	 * @param upstream the upstream
	 * @param path the path of the request
	 * @return what it said; never completed if it said nothing
	 */
	CompletableFuture<LoadReport> askPace(Upstream upstream, String path) {
		this.probes.increment();
		CompletableFuture<LoadReport> result = new CompletableFuture<>();
		this.clients.request(NetworkAddress.parse(upstream.address()), false)
			.path(path)
			.timeout(PACE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.onResponseHeaders((response) -> {
				LoadReport report = this.dialect.loadReport(response.getHeaders());
				if (report != null) {
					result.complete(report);
				}
			})
			.send((ended) -> {
			});
		return result;
	}

}
