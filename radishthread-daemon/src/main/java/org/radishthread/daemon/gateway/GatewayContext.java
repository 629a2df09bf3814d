package org.radishthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.TimeSource;

/**
 * What all exchanges share.
 */
public final class GatewayContext {

	private final DaemonSettings settings;

	private final RoutingService routing;

	private final UpstreamClients clients;

	private final ClaimKeeper claims;

	private final HomeDirectory homes;

	private final Map<String, ForwardStatistics> forwardStatistics = new ConcurrentHashMap<>();

	private final TimeSource time;

	private final MeterRegistry meters;

	private final AtomicLong lastTicket = new AtomicLong();

	private final Map<String, Timer> timers = new ConcurrentHashMap<>();

	private final ScheduledThreadPoolExecutor timer;

	public GatewayContext(DaemonSettings settings, RoutingService routing, UpstreamClients clients, ClaimKeeper claims,
			ClusterService cluster, TimeSource time, MeterRegistry meters) {
		this.settings = settings;
		this.routing = routing;
		this.clients = clients;
		this.claims = claims;
		this.homes = new HomeDirectory(cluster, time);
		this.time = time;
		this.meters = meters;
		this.timer = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, "gateway-timer");
			thread.setDaemon(true);
			return thread;
		});
		this.timer.setRemoveOnCancelPolicy(true);
	}

	DaemonSettings settings() {
		return this.settings;
	}

	RoutingService routing() {
		return this.routing;
	}

	UpstreamClients clients() {
		return this.clients;
	}

	ClaimKeeper claims() {
		return this.claims;
	}

	HomeDirectory homes() {
		return this.homes;
	}

	ForwardStatistics forwardStatistics(String service) {
		return this.forwardStatistics.computeIfAbsent(service, (name) -> new ForwardStatistics());
	}

	TimeSource time() {
		return this.time;
	}

	ScheduledExecutorService timer() {
		return this.timer;
	}

	long nextTicket() {
		return this.lastTicket.incrementAndGet();
	}

	void recordLatency(String service, long nanos) {
		this.timers
			.computeIfAbsent(service,
					(name) -> Timer.builder("radishthread.request")
						.tag("service", name)
						.publishPercentiles(0.5, 0.99, 0.999)
						.register(this.meters))
			.record(nanos, TimeUnit.NANOSECONDS);
	}

}
