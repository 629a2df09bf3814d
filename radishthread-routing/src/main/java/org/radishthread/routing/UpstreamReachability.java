package org.radishthread.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Knows whether this instance can open connections to upstreams, by the connections that
 * it has opened for all services: for attempts, as a relay, and as probes. What a
 * connection that was opened before still delivers says nothing about new ones.
 * <p>
 * The instance is partitioned from a service, or from all services, after it failed to
 * connect to several of its upstreams with no success in between. From the first failure
 * on it probes further upstreams, so that this takes few requests; a partition ends with
 * the first connection that can be opened, which probes try at intervals.
 * <p>
 * This class is a state machine and not safe for concurrent use. Points in time are
 * monotonic, in nanoseconds. Upstreams are identified by their address; addresses that
 * are not announced are ignored.
 */
public final class UpstreamReachability {

	// The number of upstreams that the instance must fail to reach.
	private static final int PARTITION_FAILURES = 3;

	// The number of services among these, or all services if there are fewer, for a
	// partition from all services.
	private static final int PARTITION_SERVICES = 4;

	private static final int PROBES_PER_ROUND = PARTITION_FAILURES - 1;

	private static final long DOUBT_PROBE_INTERVAL_NANOS = 500_000_000;

	private static final long PARTITION_PROBE_INTERVAL_NANOS = 1_000_000_000;

	// The service of each announced upstream, by address.
	private final Map<String, String> services = new LinkedHashMap<>();

	private final Map<String, LinkGroup> links = new LinkedHashMap<>();

	private final LinkGroup allLinks = new LinkGroup();

	// Differs between instances, so that they do not all probe the same upstreams.
	private int nextProbe;

	/**
	 * Creates the state of an instance that reaches all upstreams.
	 * @param probeOffset a number that differs between instances
	 */
	public UpstreamReachability(int probeOffset) {
		this.nextProbe = probeOffset;
	}

	/**
	 * Sets the announced upstreams that accept requests.
	 * @param serviceByAddress the name of the service of each upstream, by its address
	 */
	public void updateUpstreams(Map<String, String> serviceByAddress) {
		this.services.clear();
		this.services.putAll(serviceByAddress);
		this.links.keySet().retainAll(new HashSet<>(serviceByAddress.values()));
		this.links.values().forEach((group) -> group.failedAddresses.retainAll(serviceByAddress.keySet()));
		this.allLinks.failedAddresses.retainAll(serviceByAddress.keySet());
	}

	/**
	 * Records the result of an attempt to open a connection.
	 * @param address the address of the upstream
	 * @param opened whether the connection was opened
	 */
	public void recordConnection(String address, boolean opened) {
		String service = this.services.get(address);
		if (service == null) {
			return;
		}
		LinkGroup group = this.links.computeIfAbsent(service, (name) -> new LinkGroup());
		if (opened) {
			group.recordSuccess();
			this.allLinks.recordSuccess();
			return;
		}
		group.failedAddresses.add(address);
		this.allLinks.failedAddresses.add(address);
		long upstreamsOfService = this.services.values().stream().filter(service::equals).count();
		group.partitioned |= group.failedAddresses.size() >= Math.min(PARTITION_FAILURES, upstreamsOfService);
		this.allLinks.partitioned |= this.allLinks.failedAddresses.size() >= Math.min(PARTITION_FAILURES,
				this.services.size())
				&& countServices(this.allLinks.failedAddresses.stream()) >= Math.min(PARTITION_SERVICES,
						countServices(this.services.keySet().stream()));
	}

	private long countServices(Stream<String> addresses) {
		return addresses.map(this.services::get).distinct().count();
	}

	/**
	 * Returns whether this instance is partitioned from the upstreams of a service.
	 * @param service the name of the service
	 * @return whether it can open no connection to them, as far as is known
	 */
	public boolean isPartitioned(String service) {
		LinkGroup group = this.links.get(service);
		return this.allLinks.partitioned || (group != null && group.partitioned);
	}

	/**
	 * Returns whether this instance is partitioned from the service of an upstream.
	 * @param address the address of the upstream
	 * @return whether it can open no connection there, as far as is known
	 */
	public boolean isPartitionedFrom(String address) {
		String service = this.services.get(address);
		return service != null && isPartitioned(service);
	}

	/**
	 * Returns the services from which this instance is partitioned.
	 * @return the names of the services
	 */
	public Set<String> partitionedServices() {
		Set<String> partitionedServices = new LinkedHashSet<>(this.services.values());
		partitionedServices.removeIf((service) -> !isPartitioned(service));
		return partitionedServices;
	}

	/**
	 * Returns whether {@link #dueProbes} must be called at intervals, because connections
	 * could not be opened.
	 * @return whether probes may become due
	 */
	public boolean needsProbes() {
		return !this.allLinks.isSound() || this.links.values().stream().anyMatch((group) -> !group.isSound());
	}

	/**
	 * Returns the upstreams to probe now by opening a connection to them, the results of
	 * which are passed to {@link #recordConnection}.
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return the addresses
	 */
	public List<String> dueProbes(long nowNanos) {
		Set<String> probes = new LinkedHashSet<>();
		this.links.forEach((service, group) -> {
			if (group.isProbeDue(nowNanos)) {
				addProbes(probes, group, addressesOf(service));
			}
		});
		if (this.allLinks.isProbeDue(nowNanos)) {
			if (this.allLinks.partitioned) {
				addProbes(probes, this.allLinks, List.copyOf(this.services.keySet()));
			}
			else {
				addProbesOfOtherServices(probes);
			}
		}
		return List.copyOf(probes);
	}

	// One for each service to which no connection has failed yet.
	private void addProbesOfOtherServices(Set<String> probes) {
		this.services.values()
			.stream()
			.distinct()
			.filter((service) -> !this.links.containsKey(service) || this.links.get(service).isSound())
			.limit(PARTITION_SERVICES - 1)
			.forEach((service) -> addProbe(probes, addressesOf(service)));
	}

	private List<String> addressesOf(String service) {
		return this.services.keySet().stream().filter((address) -> service.equals(this.services.get(address))).toList();
	}

	private void addProbes(Set<String> probes, LinkGroup group, List<String> addresses) {
		List<String> candidates = new ArrayList<>(addresses);
		if (!group.partitioned) {
			candidates.removeAll(group.failedAddresses);
		}
		int count = Math.min(candidates.size(), group.partitioned ? 1 : PROBES_PER_ROUND);
		for (int i = 0; i < count; i++) {
			addProbe(probes, candidates);
		}
	}

	private void addProbe(Set<String> probes, List<String> candidates) {
		probes.add(candidates.get(Math.floorMod(this.nextProbe++, candidates.size())));
	}

	/**
	 * The connections to the upstreams of one service, or of all services.
	 */
	private static final class LinkGroup {

		// The upstreams to which no connection could be opened since the last success.
		private final Set<String> failedAddresses = new LinkedHashSet<>();

		private boolean partitioned;

		private long lastProbeNanos = Long.MIN_VALUE / 2;

		private void recordSuccess() {
			this.failedAddresses.clear();
			this.partitioned = false;
		}

		private boolean isSound() {
			return this.failedAddresses.isEmpty() && !this.partitioned;
		}

		private boolean isProbeDue(long nowNanos) {
			long intervalNanos = this.partitioned ? PARTITION_PROBE_INTERVAL_NANOS : DOUBT_PROBE_INTERVAL_NANOS;
			if (isSound() || nowNanos - this.lastProbeNanos < intervalNanos) {
				return false;
			}
			this.lastProbeNanos = nowNanos;
			return true;
		}

	}

}
