package org.radishthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.TimeSource;

/**
 * Holds the services, the scheduler and the request numbers that all exchanges share.
 */
public final class GatewayContext {

	private final DaemonSettings settings;

	private final RoutingService routing;

	private final UpstreamClients clients;

	private final ClaimService claims;

	private final SlotService slots;

	private final CallerKeys keys;

	private final HttpDialect dialect;

	private final BufferBudget buffers;

	private final TimeSource time;

	private final MeterRegistry meters;

	private final OpenExchanges openExchanges = new OpenExchanges();

	private final AtomicLong lastRequestNumber = new AtomicLong();

	private final Map<String, Timer> latencyTimers = new ConcurrentHashMap<>();

	private final ScheduledThreadPoolExecutor scheduler;

	public GatewayContext(DaemonSettings settings, RoutingService routing, UpstreamClients clients, ClaimService claims,
			SlotService slots, CallerKeys keys, HttpDialect dialect, BufferBudget buffers, TimeSource time,
			MeterRegistry meters) {
		this.settings = settings;
		this.routing = routing;
		this.clients = clients;
		this.claims = claims;
		this.slots = slots;
		this.keys = keys;
		this.dialect = dialect;
		this.buffers = buffers;
		this.time = time;
		this.meters = meters;
		this.scheduler = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, "gateway-timer");
			thread.setDaemon(true);
			return thread;
		});
		this.scheduler.setRemoveOnCancelPolicy(true);
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

	ClaimService claims() {
		return this.claims;
	}

	CallerKeys keys() {
		return this.keys;
	}

	HttpDialect dialect() {
		return this.dialect;
	}

	BufferBudget buffers() {
		return this.buffers;
	}

	OpenExchanges openExchanges() {
		return this.openExchanges;
	}

	RequestRouter router(String service) {
		return new HomeRequestRouter(service, this.slots);
	}

	TimeSource time() {
		return this.time;
	}

	ScheduledExecutorService scheduler() {
		return this.scheduler;
	}

	long nextRequestNumber() {
		return this.lastRequestNumber.incrementAndGet();
	}

	void recordLatency(String service, long nanos) {
		this.latencyTimers
			.computeIfAbsent(service,
					(name) -> Timer.builder("radishthread.request")
						.tag("service", name)
						.publishPercentiles(0.5, 0.99, 0.999)
						.register(this.meters))
			.record(nanos, TimeUnit.NANOSECONDS);
	}

}
