package org.radishthread.daemon;

import java.util.Optional;

import dagger.Module;
import dagger.Provides;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import jakarta.inject.Singleton;

import org.radishthread.daemon.administration.AdministrationHandler;
import org.radishthread.daemon.administration.MetricsPage;
import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.cluster.UpstreamStore;
import org.radishthread.daemon.control.ControlClient;
import org.radishthread.daemon.control.ControlService;
import org.radishthread.daemon.control.EvacuationOperations;
import org.radishthread.daemon.control.FormationService;
import org.radishthread.daemon.control.RuleOperations;
import org.radishthread.daemon.extension.DaemonExtension;
import org.radishthread.daemon.extension.ExtensionContext;
import org.radishthread.daemon.extension.ExtensionLoader;
import org.radishthread.daemon.gateway.AllotmentService;
import org.radishthread.daemon.gateway.CallerKeys;
import org.radishthread.daemon.gateway.ClaimService;
import org.radishthread.daemon.gateway.CrashExchange;
import org.radishthread.daemon.gateway.DefaultHttpDialect;
import org.radishthread.daemon.gateway.GatewayContext;
import org.radishthread.daemon.gateway.GatewayServer;
import org.radishthread.daemon.gateway.HttpDialect;
import org.radishthread.daemon.gateway.ReachabilityMonitor;
import org.radishthread.daemon.gateway.ReadinessHandler;
import org.radishthread.daemon.gateway.RoutingService;
import org.radishthread.daemon.gateway.SlotService;
import org.radishthread.daemon.gateway.UpstreamClients;
import org.radishthread.daemon.http.BufferBudget;
import org.radishthread.daemon.http.HttpServer;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.peer.RelayHandshake;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.kernel.Kernel;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.SystemTimeSource;
import org.radishthread.kernel.TimeSource;

/**
 * The Dagger module that provides the services of the daemon.
 */
@Module
final class DaemonModule {

	private static final int ADMINISTRATION_THREADS = 8;

	private static final int READINESS_THREADS = 4;

	private DaemonModule() {
	}

	@Provides
	@Singleton
	static TimeSource timeSource() {
		return new SystemTimeSource();
	}

	@Provides
	@Singleton
	static PrometheusMeterRegistry prometheusMeterRegistry() {
		return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
	}

	@Provides
	static MeterRegistry meterRegistry(PrometheusMeterRegistry meters) {
		return meters;
	}

	@Provides
	@Singleton
	static PeerTransport peerTransport(DaemonSettings settings, MeterRegistry meters) {
		return new PeerTransport(settings, meters);
	}

	@Provides
	@Singleton
	static ClusterService clusterService(DaemonSettings settings, PeerTransport transport, TimeSource time) {
		return new ClusterService(settings, transport, time, ControlService.replicaId(settings));
	}

	@Provides
	@Singleton
	static ControlClient controlClient(PeerTransport transport, ClusterService cluster, TimeSource time) {
		return new ControlClient(transport, cluster, time);
	}

	@Provides
	@Singleton
	static ReachabilityMonitor reachabilityMonitor(DaemonSettings settings, TimeSource time) {
		return new ReachabilityMonitor(settings.instance(), time);
	}

	@Provides
	@Singleton
	static UpstreamClients upstreamClients(DaemonSettings settings, ReachabilityMonitor reachability) {
		return new UpstreamClients(new RelayHandshake(settings), reachability);
	}

	@Provides
	@Singleton
	static HttpDialect httpDialect(Optional<DaemonExtension> extension) {
		return extension.map(DaemonExtension::dialect).orElseGet(DefaultHttpDialect::new);
	}

	@Provides
	@Singleton
	static CrashExchange crashExchange(DaemonSettings settings, PeerTransport transport, ClusterService cluster,
			TimeSource time) {
		return new CrashExchange(settings, transport, cluster, time);
	}

	@Provides
	@Singleton
	static AllotmentService allotmentService(DaemonSettings settings, PeerTransport transport, ClusterService cluster,
			TimeSource time, MeterRegistry meters) {
		return new AllotmentService(settings, transport, cluster, time, meters);
	}

	@Provides
	@Singleton
	static RoutingService routingService(DaemonSettings settings, UpstreamClients clients, HttpDialect dialect,
			AllotmentService allotments, CrashExchange crashExchange, ReachabilityMonitor reachability, TimeSource time,
			MeterRegistry meters) {
		return new RoutingService(settings, clients, dialect, allotments, crashExchange, reachability, time, meters);
	}

	@Provides
	@Singleton
	static Optional<DaemonExtension> extension(DaemonSettings settings) {
		return ExtensionLoader.load(settings);
	}

	@Provides
	@Singleton
	static RuleOperations ruleOperations(DaemonSettings settings, ClusterService cluster, ControlClient controlClient,
			TimeSource time) {
		return new RuleOperations(cluster, controlClient, time, settings.limits().rulePropagationTimeoutMillis());
	}

	@Provides
	@Singleton
	static EvacuationOperations evacuationOperations(ClusterService cluster, ControlClient controlClient,
			TimeSource time) {
		return new EvacuationOperations(cluster, controlClient, time);
	}

	@Provides
	@Singleton
	static SlotService slotService(DaemonSettings settings, PeerTransport transport, ClusterService cluster,
			RoutingService routing, ReachabilityMonitor reachability, TimeSource time) {
		return new SlotService(settings, transport, cluster, routing, reachability, time);
	}

	@Provides
	@Singleton
	static CallerKeys callerKeys(ClusterService cluster, RoutingService routing, HttpDialect dialect, TimeSource time,
			MeterRegistry meters) {
		return new CallerKeys(cluster, routing, dialect, time, meters);
	}

	@Provides
	@Singleton
	static BufferBudget bufferBudget(MeterRegistry meters) {
		BufferBudget buffers = BufferBudget.ofHeap();
		meters.gauge("radishthread.buffered.bytes", buffers, BufferBudget::reservedBytes);
		return buffers;
	}

	@Provides
	@Singleton
	static GatewayContext gatewayContext(DaemonSettings settings, RoutingService routing, UpstreamClients clients,
			ControlClient controlClient, SlotService slots, CallerKeys keys, HttpDialect dialect, BufferBudget buffers,
			TimeSource time, MeterRegistry meters) {
		return new GatewayContext(settings, routing, clients, new ClaimService(settings, controlClient), slots, keys,
				dialect, buffers, time, meters);
	}

	@Provides
	@Singleton
	static Kernel kernel(DaemonSettings settings, PeerTransport transport, ClusterService cluster,
			ControlClient controlClient, RuleOperations ruleOperations, EvacuationOperations evacuationOperations,
			UpstreamClients clients, RoutingService routing, SlotService slots, AllotmentService allotments,
			CrashExchange crashExchange, ReachabilityMonitor reachability, GatewayContext gatewayContext,
			Optional<DaemonExtension> extension, BufferBudget buffers, TimeSource time,
			PrometheusMeterRegistry meters) {
		Kernel kernel = new Kernel();
		transport.setUpstreamListener(reachability);
		kernel.register(transport);
		cluster.addListener(routing);
		if (settings.isControl()) {
			cluster.useUpstreamStore(new UpstreamStore(settings.dataFolder().resolve("control")));
		}
		kernel.register(cluster);
		if (settings.isControl()) {
			kernel.register(new ControlService(settings, transport, cluster, time));
		}
		kernel.register(controlClient);
		if (settings.isControl() && settings.bootstrap().automatic()) {
			kernel.register(new FormationService(settings, cluster, controlClient, time));
		}
		kernel.register(new HttpServer("administration", settings.administrationAddress(), ADMINISTRATION_THREADS,
				new AdministrationHandler(settings.secrets(), cluster, controlClient, ruleOperations,
						evacuationOperations, buffers, new MetricsPage(meters))));
		NetworkAddress readinessAddress = settings.readinessAddress();
		if (readinessAddress != null) {
			kernel.register(
					new HttpServer("readiness", readinessAddress, READINESS_THREADS, new ReadinessHandler(cluster)));
		}
		extension
			.flatMap((loadedExtension) -> loadedExtension
				.createService(new ExtensionContext(settings, cluster, ruleOperations, evacuationOperations, buffers)))
			.ifPresent(kernel::register);
		if (settings.isGateway()) {
			kernel.register(reachability);
			kernel.register(clients);
			kernel.register(routing);
			kernel.register(slots);
			kernel.register(allotments);
			kernel.register(crashExchange);
			kernel.register(new GatewayServer(settings, gatewayContext, cluster));
		}
		return kernel;
	}

}
