package org.radishthread.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Knows from which instances the upstreams of a service can be reached. A failure to
 * connect belongs to the path between one instance, the origin of the attempt, and one
 * upstream; an upstream is unreachable only if several instances agree. An instance that
 * reaches no upstream is partitioned: its failures say nothing about upstreams, and its
 * requests are relayed by other instances. Instances report that themselves, see
 * {@link UpstreamReachability}; besides, it is inferred from failures. Points in time are
 * monotonic, in nanoseconds. Not safe for concurrent use.
 */
final class UpstreamPaths {

	/**
	 * The origin of the attempts and probes of this instance, the home.
	 */
	static final String HOME = "";

	// An instance without requests for this time has no part in agreements.
	private static final long ACTIVE_PERIOD_NANOS = 5_000_000_000L;

	private static final long BASE_BLOCK_NANOS = 1_000_000_000L;

	private static final int MAXIMUM_BLOCK_DOUBLINGS = 2;

	// The number of upstreams that an instance must fail to reach, with no success in
	// between, to count as partitioned.
	private static final int PARTITION_FAILURES = 3;

	private static final int AGREEING_ORIGINS = 2;

	// An instance that reached an upstream within this time is preferred as a relay to
	// one of which it is not known whether it still does.
	private static final long PROVEN_PERIOD_NANOS = 1_000_000_000L;

	// Keyed by the peer address of the instance.
	private final Map<String, Origin> origins = new LinkedHashMap<>();

	// The last time at which any instance reached the upstream, by its name.
	private final Map<String, Long> lastReachedNanos = new HashMap<>();

	// The peer addresses of other instances, which may relay although they send no
	// requests of the service.
	private List<String> instances = List.of();

	void updateInstances(List<String> peerAddresses) {
		this.instances = peerAddresses;
	}

	void recordRequest(String origin, long nowNanos) {
		this.origins.entrySet()
			.removeIf((entry) -> !entry.getKey().equals(HOME) && entry.getValue().isForgotten(nowNanos));
		origin(origin).lastRequestNanos = nowNanos;
	}

	private Origin origin(String name) {
		return this.origins.computeIfAbsent(name, (key) -> new Origin());
	}

	/**
	 * Records that an instance could not connect to an upstream.
	 * @param origin the instance
	 * @param upstream the name of the upstream
	 * @param upstreamCount the number of upstreams of the service
	 * @param nowNanos the current time
	 * @return whether the instance counts as partitioned from now on
	 */
	boolean recordFailure(String origin, String upstream, int upstreamCount, long nowNanos) {
		Origin state = origin(origin);
		state.lastEvidenceNanos = nowNanos;
		state.blocks.computeIfAbsent(upstream, (name) -> new Block()).extend(nowNanos);
		state.failedSinceSuccess.add(upstream);
		if (state.partition != null) {
			state.partition.extend(nowNanos);
			return false;
		}
		if (state.failedSinceSuccess.size() < Math.min(PARTITION_FAILURES, upstreamCount)) {
			return false;
		}
		state.partition = new Block();
		state.partition.extend(nowNanos);
		return !state.reportedPartition;
	}

	/**
	 * Records that an instance reached an upstream, which ends its partition.
	 * @param origin the instance
	 * @param upstream the name of the upstream
	 * @param nowNanos the current time
	 * @return whether the instance counted as partitioned before
	 */
	boolean recordSuccess(String origin, String upstream, long nowNanos) {
		this.lastReachedNanos.put(upstream, nowNanos);
		Origin state = this.origins.get(origin);
		if (state == null) {
			return false;
		}
		state.lastReachedNanos = nowNanos;
		state.lastEvidenceNanos = nowNanos;
		boolean partitioned = state.partition != null;
		state.failedSinceSuccess.clear();
		state.partition = null;
		if (partitioned) {
			state.blocks.clear();
		}
		else {
			state.blocks.remove(upstream);
		}
		return partitioned && !state.reportedPartition;
	}

	/**
	 * Records what an instance reports of its own connections.
	 * @param origin the instance
	 * @param partitioned whether it reaches no upstream
	 * @param nowNanos the current time
	 * @return whether that changes what is known of it
	 */
	boolean recordReport(String origin, boolean partitioned, long nowNanos) {
		Origin reporting = origin(origin);
		reporting.lastEvidenceNanos = nowNanos;
		if (reporting.reportedPartition == partitioned) {
			return false;
		}
		boolean partitionedBefore = reporting.isPartitioned();
		reporting.reportedPartition = partitioned;
		if (!partitioned) {
			reporting.partition = null;
			reporting.failedSinceSuccess.clear();
			reporting.blocks.clear();
		}
		return partitionedBefore != partitioned;
	}

	// If no instance reaches an upstream, the upstreams are lost, not the paths. An
	// instance that knows of no requests of others can't tell.
	boolean isPartitioned(String origin, long nowNanos) {
		Origin state = this.origins.get(origin);
		if (state == null || !state.isPartitioned()) {
			return false;
		}
		boolean othersActive = false;
		for (Map.Entry<String, Origin> other : this.origins.entrySet()) {
			boolean active = !other.getKey().equals(origin) && other.getValue().isActive(nowNanos);
			if (active && !other.getValue().isPartitioned()) {
				return true;
			}
			othersActive |= active;
		}
		return !othersActive && !this.instances.isEmpty();
	}

	// Whether an attempt may be made on the path; after a failure one attempt at a time,
	// at growing intervals.
	boolean isUsable(String origin, String upstream, long nowNanos) {
		Origin state = this.origins.get(origin);
		if (state == null) {
			return true;
		}
		if (state.reportedPartition && isPartitioned(origin, nowNanos)) {
			// The instance finds the end of its partition by probes.
			return false;
		}
		Block block = (state.partition != null) ? state.partition : state.blocks.get(upstream);
		return block == null || !block.isActive(nowNanos);
	}

	// Blocks the path while the attempt that tries it is in flight.
	void recordAttempt(String origin, String upstream, long nowNanos) {
		Origin state = origin(origin);
		Block block = (state.partition != null) ? state.partition : state.blocks.get(upstream);
		if (block != null) {
			block.untilNanos = nowNanos + BASE_BLOCK_NANOS;
		}
	}

	/**
	 * Returns whether an upstream is unreachable for all: for several instances that are
	 * not partitioned, or for every instance that has requests. A success of any instance
	 * contradicts the failures before it.
	 * @param upstream the name of the upstream
	 * @param nowNanos the current time
	 * @return whether the instances agree
	 */
	boolean isUnreachableForAll(String upstream, long nowNanos) {
		int failing = 0;
		int failingOthers = 0;
		int active = 0;
		long reachedNanos = this.lastReachedNanos.getOrDefault(upstream, Long.MIN_VALUE);
		for (Origin state : this.origins.values()) {
			Block block = state.blocks.get(upstream);
			boolean fails = block != null && block.failedNanos > reachedNanos;
			active += (state.isActive(nowNanos) || fails) ? 1 : 0;
			failing += fails ? 1 : 0;
			failingOthers += (fails && !state.isPartitioned()) ? 1 : 0;
		}
		return failingOthers >= AGREEING_ORIGINS || (failing > 0 && failing == active);
	}

	// Whether an instance is known that can relay an attempt.
	boolean hasRelay(String origin, String upstream, long nowNanos) {
		for (Map.Entry<String, Origin> entry : this.origins.entrySet()) {
			if (!entry.getKey().equals(origin) && entry.getValue().canRelay(upstream, nowNanos)) {
				return true;
			}
		}
		return findInactiveRelay(origin, upstream, Set.of(), nowNanos) != null;
	}

	/**
	 * Finds an instance that can relay an attempt: if possible one that has not relayed
	 * the request yet, and then one that has reached an upstream lately. Attempts are
	 * spread evenly over the instances.
	 * @param origin the instance that received the request
	 * @param upstream the name of the upstream
	 * @param triedRelays the instances that relayed the request
	 * @param nowNanos the current time
	 * @return the peer address of the instance, or {@code null} if there is none
	 */
	@Nullable String findRelay(String origin, String upstream, Set<String> triedRelays, long nowNanos) {
		return this.origins.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(origin) && entry.getValue().canRelay(upstream, nowNanos))
			.min(Comparator.comparing((Map.Entry<String, Origin> entry) -> triedRelays.contains(entry.getKey()))
				.thenComparing((entry) -> !entry.getValue().isProven(nowNanos))
				.thenComparingInt((entry) -> entry.getValue().relayedAttempts)
				.thenComparingLong((entry) -> entry.getValue().lastRelayNanos))
			.map(Map.Entry::getKey)
			.orElseGet(() -> findInactiveRelay(origin, upstream, triedRelays, nowNanos));
	}

	private @Nullable String findInactiveRelay(String origin, String upstream, Set<String> triedRelays, long nowNanos) {
		return this.instances.stream()
			.filter((instance) -> !instance.equals(origin))
			.filter((instance) -> !this.origins.containsKey(instance) || this.origins.get(instance).mayReach(upstream))
			.min(Comparator.comparing((String instance) -> triedRelays.contains(instance))
				.thenComparing((instance) -> !isProven(instance, nowNanos))
				.thenComparing((instance) -> hasFailed(instance))
				.thenComparingInt(this::relayedAttempts))
			.orElse(null);
	}

	private boolean isProven(String instance, long nowNanos) {
		return this.origins.containsKey(instance) && this.origins.get(instance).isProven(nowNanos);
	}

	// Whether the last attempts through the instance reached no upstream.
	private boolean hasFailed(String instance) {
		return this.origins.containsKey(instance) && !this.origins.get(instance).failedSinceSuccess.isEmpty();
	}

	private int relayedAttempts(String instance) {
		Origin state = this.origins.get(instance);
		return (state != null) ? state.relayedAttempts : 0;
	}

	void recordRelayStart(String relay, long nowNanos) {
		Origin state = origin(relay);
		state.relayedAttempts++;
		state.lastRelayNanos = nowNanos;
	}

	void recordRelayEnd(String relay) {
		origin(relay).relayedAttempts--;
	}

	void forgetUpstream(String upstream) {
		this.lastReachedNanos.remove(upstream);
		this.origins.values().forEach((state) -> {
			state.blocks.remove(upstream);
			state.failedSinceSuccess.remove(upstream);
		});
	}

	private static final class Origin {

		private long lastRequestNanos = Long.MIN_VALUE / 2;

		// The time of the latest report, success or failure.
		private long lastEvidenceNanos = Long.MIN_VALUE / 2;

		private long lastReachedNanos = Long.MIN_VALUE / 2;

		private long lastRelayNanos = Long.MIN_VALUE / 2;

		private int relayedAttempts;

		// Keyed by the name of the upstream.
		private final Map<String, Block> blocks = new HashMap<>();

		private final Set<String> failedSinceSuccess = new HashSet<>();

		// Present while failures show that the instance is partitioned.
		private @Nullable Block partition;

		private boolean reportedPartition;

		private boolean isPartitioned() {
			return this.reportedPartition || this.partition != null;
		}

		private boolean isActive(long nowNanos) {
			return nowNanos - this.lastRequestNanos < ACTIVE_PERIOD_NANOS;
		}

		private boolean isForgotten(long nowNanos) {
			return !isActive(nowNanos) && this.relayedAttempts == 0
					&& nowNanos - this.lastEvidenceNanos >= ACTIVE_PERIOD_NANOS;
		}

		private boolean canRelay(String upstream, long nowNanos) {
			return isActive(nowNanos) && mayReach(upstream);
		}

		private boolean mayReach(String upstream) {
			return !isPartitioned() && !this.blocks.containsKey(upstream);
		}

		private boolean isProven(long nowNanos) {
			return nowNanos - this.lastReachedNanos < PROVEN_PERIOD_NANOS && this.failedSinceSuccess.isEmpty();
		}

	}

	private static final class Block {

		private int failures;

		private long failedNanos = Long.MIN_VALUE;

		private long untilNanos = Long.MIN_VALUE / 2;

		private boolean isActive(long nowNanos) {
			return nowNanos < this.untilNanos;
		}

		private void extend(long nowNanos) {
			this.failedNanos = nowNanos;
			this.untilNanos = nowNanos + (BASE_BLOCK_NANOS << Math.min(this.failures, MAXIMUM_BLOCK_DOUBLINGS));
			this.failures++;
		}

	}

}
