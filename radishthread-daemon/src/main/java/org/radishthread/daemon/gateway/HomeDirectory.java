package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.InstanceView;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.routing.HomeAssignment;

/**
 * Tells which instance is the home of a service. An instance that was just found not to
 * answer is passed over for a while.
 */
final class HomeDirectory {

	private static final long SUSPICION_MILLIS = 1_000;

	private final ClusterService cluster;

	private final TimeSource time;

	private final Map<String, Long> suspectedUntil = new ConcurrentHashMap<>();

	private volatile Ranking ranking = new Ranking(List.of(), new ConcurrentHashMap<>());

	HomeDirectory(ClusterService cluster, TimeSource time) {
		this.cluster = cluster;
		this.time = time;
	}

	// The instances that may route for a service, the home first; this instance is among
	// them unless it leaves.
	List<Home> homesOf(String service) {
		List<InstanceView> instances = this.cluster.view().instances();
		Ranking current = this.ranking;
		if (current.instances() != instances) {
			current = new Ranking(instances, new ConcurrentHashMap<>());
			this.ranking = current;
		}
		List<Home> homes = current.homes().computeIfAbsent(service, (name) -> rank(name, instances));
		long now = this.time.monotonicMillis();
		if (this.suspectedUntil.isEmpty()) {
			return homes;
		}
		return homes.stream().filter((home) -> this.suspectedUntil.getOrDefault(home.address(), 0L) <= now).toList();
	}

	private List<Home> rank(String service, List<InstanceView> instances) {
		Map<String, InstanceRecord> live = new ConcurrentHashMap<>();
		for (InstanceView view : instances) {
			if (view.live() && view.instance().getGateway() && !view.instance().getLeaving()) {
				live.put(view.instance().getName(), view.instance());
			}
		}
		String own = this.cluster.replica().getInstance();
		return HomeAssignment.rankInstances(service, List.copyOf(live.keySet()))
			.stream()
			.map((name) -> new Home(name, live.get(name).getPeerAddress(), name.equals(own)))
			.toList();
	}

	void suspect(String address) {
		this.suspectedUntil.put(address, this.time.monotonicMillis() + SUSPICION_MILLIS);
	}

	/**
	 * An instance that may route for a service.
	 *
	 * @param name the name of the instance
	 * @param address where it takes messages of other instances
	 * @param own whether it is this instance
	 */
	record Home(String name, String address, boolean own) {
	}

	private record Ranking(List<InstanceView> instances, Map<String, List<Home>> homes) {
	}

}
