package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

import org.radishthread.kernel.NetworkAddress;
import org.radishthread.routing.Upstream;

/**
 * Finds out whether an upstream can be reached, by opening a connection to it.
 */
final class UpstreamProber {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private final Counter probes;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "probe");
		thread.setDaemon(true);
		return thread;
	});

	UpstreamProber(MeterRegistry meters) {
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

}
