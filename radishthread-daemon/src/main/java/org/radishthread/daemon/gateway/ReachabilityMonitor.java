package org.radishthread.daemon.gateway;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

import org.radishthread.daemon.peer.UpstreamConnectionListener;
import org.radishthread.kernel.EventLog;
import org.radishthread.kernel.EventLoop;
import org.radishthread.kernel.NetworkAddress;
import org.radishthread.kernel.Service;
import org.radishthread.kernel.TimeSource;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.routing.UpstreamReachability;

/**
 * Feeds the results of all connections that this instance opens to upstreams into an
 * {@link UpstreamReachability}, opens the connections that it asks for, and tells
 * listeners from which services this instance is partitioned. Safe for use by several
 * threads.
 */
public final class ReachabilityMonitor implements Service, UpstreamConnectionListener {

	/**
	 * The name of this service.
	 */
	public static final String NAME = "reachability-monitor";

	private static final EventLog eventLog = EventLog.of(ReachabilityMonitor.class);

	private static final long PROBE_CHECK_INTERVAL_MILLIS = 100;

	private final TimeSource time;

	private final UpstreamReachability reachability;

	private final EventLoop eventLoop = new EventLoop("reachability");

	private final AtomicBoolean probeCheckScheduled = new AtomicBoolean();

	// Called with the name of a service and whether this instance is partitioned from it.
	private final List<BiConsumer<String, Boolean>> listeners = new CopyOnWriteArrayList<>();

	private volatile Set<String> partitionedServices = Set.of();

	public ReachabilityMonitor(String instance, TimeSource time) {
		this.time = time;
		this.reachability = new UpstreamReachability(instance.hashCode());
	}

	@Override
	public String name() {
		return NAME;
	}

	@Override
	public void start() {
		// Works from the first connection on.
	}

	// Listeners are called one after another on one thread.
	void addListener(BiConsumer<String, Boolean> listener) {
		this.listeners.add(listener);
	}

	boolean isPartitioned(String service) {
		return this.partitionedServices.contains(service);
	}

	void updateUpstreams(List<UpstreamRecord> upstreams) {
		Map<String, String> serviceByAddress = upstreams.stream()
			.filter((upstream) -> upstream.getState() == UpstreamState.READY)
			.collect(Collectors.toMap((upstream) -> canonicalAddress(upstream.getAddress()), UpstreamRecord::getService,
					(first, second) -> second));
		process(() -> this.reachability.updateUpstreams(serviceByAddress));
	}

	@Override
	public boolean mayRelay(String address) {
		if (this.partitionedServices.isEmpty()) {
			return true;
		}
		synchronized (this.reachability) {
			return !this.reachability.isPartitionedFrom(canonicalAddress(address));
		}
	}

	@Override
	public void connectionCompleted(String address, boolean opened) {
		process(() -> this.reachability.recordConnection(canonicalAddress(address), opened));
	}

	// An IPv6 number can be written in several ways.
	private static String canonicalAddress(String address) {
		if (!address.startsWith("[")) {
			return address;
		}
		NetworkAddress parsed = NetworkAddress.parse(address);
		try {
			return new NetworkAddress(InetAddress.getByName(parsed.host()).getHostAddress(), parsed.port()).toString();
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("Address '" + address + "' must name an IP number.", ex);
		}
	}

	private void process(Runnable event) {
		boolean needsProbes;
		synchronized (this.reachability) {
			event.run();
			needsProbes = this.reachability.needsProbes();
			if (needsProbes || !this.partitionedServices.isEmpty()) {
				publishChanges(this.reachability.partitionedServices());
			}
		}
		if (needsProbes && this.probeCheckScheduled.compareAndSet(false, true)) {
			this.eventLoop.execute(this::probe);
		}
	}

	private void publishChanges(Set<String> currentServices) {
		Set<String> previousServices = this.partitionedServices;
		this.partitionedServices = currentServices;
		Set<String> allServices = new HashSet<>(previousServices);
		allServices.addAll(currentServices);
		for (String service : allServices) {
			boolean partitioned = currentServices.contains(service);
			if (partitioned != previousServices.contains(service)) {
				eventLog.warning("reachability-changed")
					.with("service", service)
					.with("partitioned", partitioned)
					.with("requests", partitioned ? "relayed by other instances" : "sent directly")
					.write();
				this.eventLoop
					.execute(() -> this.listeners.forEach((listener) -> listener.accept(service, partitioned)));
			}
		}
	}

	// Scheduled only while connections could not be opened.
	private void probe() {
		this.probeCheckScheduled.set(false);
		List<String> addresses;
		boolean needsProbes;
		synchronized (this.reachability) {
			addresses = this.reachability.dueProbes(this.time.monotonicNanos());
			needsProbes = this.reachability.needsProbes();
		}
		addresses.forEach(this::probe);
		if (needsProbes && this.probeCheckScheduled.compareAndSet(false, true)) {
			this.eventLoop.schedule(PROBE_CHECK_INTERVAL_MILLIS, this::probe);
		}
	}

	private void probe(String address) {
		UpstreamProber.connect(NetworkAddress.parse(address)).thenAccept((reachable) -> {
			eventLog.information("reachability-probe").with("address", address).with("reachable", reachable).write();
			connectionCompleted(address, reachable);
		});
	}

	@Override
	public void stop() {
		this.eventLoop.stop();
	}

}
