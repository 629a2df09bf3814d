package org.radishthread.daemon.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.daemon.peer.PeerTransport;
import org.radishthread.daemon.peer.RelayHandshake;
import org.radishthread.daemon.peer.UpstreamConnectionListener;
import org.radishthread.daemon.settings.DaemonSettings;
import org.radishthread.daemon.settings.SettingsReader;
import org.radishthread.kernel.SystemTimeSource;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.routing.RoutingRequest;
import org.radishthread.routing.UpstreamPool;

/**
 * The services of one gateway that route requests, for tests. None is started, so that
 * nothing is received from other instances.
 */
final class GatewayServices implements AutoCloseable {

	static final String SERVICE = "rotaboard";

	// Nothing listens there.
	static final String SILENT_HOME = "127.0.0.1:1";

	private final TimeSource time = new SystemTimeSource();

	private final PeerTransport transport;

	private final ClusterService cluster;

	private final ReachabilityMonitor reachability;

	private final AllotmentService allotments;

	private final CrashExchange crashExchange;

	private final RoutingService routing;

	private final SlotService slots;

	private long announcements;

	GatewayServices(Path directory) throws IOException {
		MeterRegistry meters = new SimpleMeterRegistry();
		DaemonSettings settings = settings(directory);
		DefaultHttpDialect dialect = new DefaultHttpDialect();
		this.transport = new PeerTransport(settings, meters);
		this.cluster = new ClusterService(settings, this.transport, this.time, 1);
		this.reachability = new ReachabilityMonitor(settings.instance(), this.time);
		this.allotments = new AllotmentService(settings, this.transport, this.cluster, this.time, meters);
		this.crashExchange = new CrashExchange(settings, this.transport, this.cluster, this.time);
		UpstreamClients clients = new UpstreamClients(new RelayHandshake(settings), UpstreamConnectionListener.NONE);
		this.routing = new RoutingService(settings, clients, dialect, this.allotments, this.crashExchange,
				this.reachability, this.time, meters);
		this.slots = new SlotService(settings, this.transport, this.cluster, this.routing, this.reachability,
				this.time);
	}

	private static DaemonSettings settings(Path directory) throws IOException {
		Files.writeString(directory.resolve("token"), "0123456789abcdef");
		Path file = Files.writeString(directory.resolve("settings.yaml"), """
				instance: gateway-1
				zone: zone-1
				roles: [gateway]
				listen: {caller: "127.0.0.1:1", administration: "127.0.0.1:2", peer: "127.0.0.1:%d"}
				seeds: ["127.0.0.1:3"]
				secrets: {peer: token, administration: token, announcement: token}
				""".formatted(unusedPort()));
		return SettingsReader.read(file);
	}

	static int unusedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	RoutingService routing() {
		return this.routing;
	}

	SlotService slots() {
		return this.slots;
	}

	TimeSource time() {
		return this.time;
	}

	LocalRequestRouter localRouter() {
		return this.routing.router(UpstreamPool.whole(SERVICE));
	}

	RoutingRequest newRequest(long id, boolean mayRepeat) {
		return new RoutingRequest(id, "caller-" + id, mayRepeat, this.time.monotonicNanos() + 5_000_000_000L);
	}

	void announceUpstream(int slotCount) {
		announceUpstreams(1, slotCount);
	}

	// Nothing listens at the addresses. Each call announces a change.
	void announceUpstreams(int upstreamCount, int slotCount) {
		this.announcements++;
		List<UpstreamRecord> upstreams = new ArrayList<>();
		for (int number = 1; number <= upstreamCount; number++) {
			upstreams.add(UpstreamRecord.newBuilder()
				.setName("upstream-" + number)
				.setService(SERVICE)
				.setAddress("127.0.0.1:" + number)
				.setZone("zone-1")
				.setIncarnation(1)
				.setSequence(this.announcements)
				.setSlots(slotCount)
				.setState(UpstreamState.READY)
				.build());
		}
		this.routing.upstreamsChanged(upstreams);
	}

	@Override
	public void close() {
		this.slots.stop();
		this.routing.stop();
		this.allotments.stop();
		this.crashExchange.stop();
		this.reachability.stop();
		this.transport.stop();
	}

}
