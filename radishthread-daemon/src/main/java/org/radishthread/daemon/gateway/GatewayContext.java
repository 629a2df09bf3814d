package org.radishthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.TimeSource;

/**
 * What all exchanges share.
 */
public final class GatewayContext {

	private final DaemonSettings settings;

	private final RoutingService routing;

	private final UpstreamClients clients;

	private final ClaimRegistry claims;

	private final SlotService slots;

	private final HttpDialect dialect;

	private final TimeSource time;

	private final MeterRegistry meters;

	private final AtomicLong lastTicket = new AtomicLong();

	private final Map<String, Timer> timers = new ConcurrentHashMap<>();

	private final ScheduledThreadPoolExecutor timer;

	public GatewayContext(DaemonSettings settings, RoutingService routing, UpstreamClients clients,
			ClaimRegistry claims, SlotService slots, HttpDialect dialect, TimeSource time, MeterRegistry meters) {
		this.settings = settings;
		this.routing = routing;
		this.clients = clients;
		this.claims = claims;
		this.slots = slots;
		this.dialect = dialect;
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

	ClaimRegistry claims() {
		return this.claims;
	}

	HttpDialect dialect() {
		return this.dialect;
	}

	RequestRouter router(String service) {
		return new HomeRouter(service, this.slots);
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
