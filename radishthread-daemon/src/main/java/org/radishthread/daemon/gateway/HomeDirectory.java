package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.radishthread.daemon.cluster.ClusterService;
import org.radishthread.kernel.TimeSource;
import org.radishthread.membership.InstanceView;
import org.radishthread.protocol.InstanceRecord;
import org.radishthread.routing.HomeAssignment;
import org.radishthread.routing.HomeAvailability;
import org.radishthread.routing.SlotRequester;
import org.radishthread.routing.UpstreamPool;

/**
 * Ranks the instances that can be the home of a pool of upstreams. The home is the one
 * instance that queues the requests of the pool and grants the slots of its upstreams. An
 * instance that was unavailable as home is left out until it responds to a probe. This
 * class is safe for use by several threads.
 */
final class HomeDirectory {

	private final ClusterService cluster;

	private final TimeSource time;

	// Guarded by itself.
	private final HomeAvailability availability = new HomeAvailability(
			SlotRequester.MINIMUM_RESPONSE_TIMEOUT.toMillis());

	private volatile Ranking ranking = new Ranking(List.of(), false, new ConcurrentHashMap<>());

	HomeDirectory(ClusterService cluster, TimeSource time) {
		this.cluster = cluster;
		this.time = time;
	}

	// The instance to ask for a slot: the first in order of rank that is not left out. Is
	// empty only if this instance is leaving.
	Optional<HomeCandidate> selectHome(UpstreamPool pool) {
		return selectHome(pool, Set.of());
	}

	// The same, without the instances that were asked before.
	Optional<HomeCandidate> selectHome(UpstreamPool pool, Set<String> askedAddresses) {
		List<HomeCandidate> candidates = rankedInstances(pool);
		synchronized (this.availability) {
			return candidates.stream()
				.filter((candidate) -> !askedAddresses.contains(candidate.peerAddress()))
				.filter((candidate) -> candidate.local() || !this.availability.isLeftOut(candidate.peerAddress()))
				.findFirst()
				.map((candidate) -> (candidate == candidates.get(0)) ? candidate : candidate.asSubstitute());
		}
	}

	// The peer addresses of all other gateways, also of those that were unavailable. Each
	// instance gets them in another order, so that they do not all use the same relay.
	List<String> otherInstances(UpstreamPool pool) {
		List<String> addresses = new ArrayList<>();
		for (HomeCandidate candidate : rankedInstances(pool)) {
			if (!candidate.local()) {
				addresses.add(candidate.peerAddress());
			}
		}
		Collections.rotate(addresses, this.cluster.replica().getInstance().hashCode());
		return addresses;
	}

	// Whether services may be divided into pools, which homes of earlier versions do not
	// know.
	boolean canDivideServices() {
		return currentRanking().dividesServices();
	}

	private List<HomeCandidate> rankedInstances(UpstreamPool pool) {
		Ranking ranking = currentRanking();
		return ranking.candidatesByPool().computeIfAbsent(pool, (key) -> rank(key, ranking.instances()));
	}

	private Ranking currentRanking() {
		List<InstanceView> instances = this.cluster.view().instances();
		Ranking currentRanking = this.ranking;
		if (currentRanking.instances() != instances) {
			currentRanking = new Ranking(instances,
					liveGateways(instances).stream().allMatch(InstanceRecord::getDividesServices),
					new ConcurrentHashMap<>());
			this.ranking = currentRanking;
		}
		return currentRanking;
	}

	private static List<InstanceRecord> liveGateways(List<InstanceView> instances) {
		return instances.stream()
			.filter(InstanceView::live)
			.map(InstanceView::instance)
			.filter((instance) -> instance.getGateway() && !instance.getLeaving())
			.toList();
	}

	private List<HomeCandidate> rank(UpstreamPool pool, List<InstanceView> instances) {
		Map<String, InstanceRecord> liveGateways = liveGateways(instances).stream()
			.collect(Collectors.toMap(InstanceRecord::getName, Function.identity()));
		String localInstance = this.cluster.replica().getInstance();
		return HomeAssignment.rankInstances(pool.key(), List.copyOf(liveGateways.keySet()))
			.stream()
			.map((name) -> new HomeCandidate(name, liveGateways.get(name).getPeerAddress(), name.equals(localInstance),
					false))
			.toList();
	}

	void recordSilence(String peerAddress) {
		synchronized (this.availability) {
			this.availability.recordSilence(peerAddress, this.time.monotonicMillis());
		}
	}

	void recordProbeResponse(String peerAddress, long number) {
		synchronized (this.availability) {
			this.availability.recordProbeResponse(peerAddress, number, this.time.monotonicMillis());
		}
	}

	// The probes to send to the instances that are left out.
	List<HomeAvailability.Probe> takeDueProbes() {
		Map<String, Boolean> instances = liveGateways(currentRanking().instances()).stream()
			.collect(Collectors.toMap(InstanceRecord::getPeerAddress, InstanceRecord::getAnswersSlotProbes,
					Boolean::logicalAnd));
		synchronized (this.availability) {
			return this.availability.takeDueProbes(instances, this.time.monotonicMillis());
		}
	}

	boolean isAnyLeftOut() {
		synchronized (this.availability) {
			return this.availability.needsTick();
		}
	}

	/**
	 * Instance that can be the home of a service.
	 *
	 * @param name the name of the instance
	 * @param peerAddress the address for messages of other instances
	 * @param local whether it is this instance
	 * @param substitute whether it stands in for another instance, which is left out
	 */
	record HomeCandidate(String name, String peerAddress, boolean local, boolean substitute) {

		private HomeCandidate asSubstitute() {
			return new HomeCandidate(this.name, this.peerAddress, this.local, true);
		}

	}

	private record Ranking(List<InstanceView> instances, boolean dividesServices,
			Map<UpstreamPool, List<HomeCandidate>> candidatesByPool) {
	}

}
