package org.radishthread.agreement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.radishthread.protocol.ReplicaDescriptor;

/**
 * Decides when a control instance bootstraps or joins the control group without an
 * operator. On the first start of the whole system, the seed whose address sorts first as
 * text bootstraps the group with all control instances that it has discovered; every
 * other instance requests to join. Performs no I/O and uses no thread or clock:
 * observations and the monotonic time are passed in. Not thread-safe.
 */
public final class GroupFormation {

	/**
	 * The time for which the set of discovered control instances must not change before
	 * the group is bootstrapped, in milliseconds. The instances of a starting system are
	 * discovered within a few hundred milliseconds.
	 */
	static final long STABLE_MEMBERSHIP_MILLIS = 800;

	/**
	 * The time after start from which a majority of the seeds suffices to bootstrap the
	 * group, in milliseconds.
	 */
	static final long PARTIAL_BOOTSTRAP_DELAY_MILLIS = 6_000;

	/**
	 * The time that an instance of a new system waits for the bootstrap of the group
	 * before it requests to join, and the interval between requests to join, in
	 * milliseconds.
	 */
	static final long JOIN_INTERVAL_MILLIS = 1_000;

	private final ReplicaDescriptor self;

	private final List<String> seeds;

	private final boolean bootstrapAllowed;

	// The time without a leader after which a member requests to join again, because it
	// may have been replaced while it was frozen or cut off.
	private final long leaderLossTimeoutMillis;

	private long startMillis = Long.MIN_VALUE;

	private long lastMembershipChangeMillis;

	private long lastLeaderSeenMillis;

	private long nextJoinMillis;

	private Set<Long> discoveredReplicaIds = Set.of();

	/**
	 * Creates the group formation of one control instance.
	 * @param self the replica of the instance
	 * @param seeds the peer addresses of the seeds; all instances of a system that starts
	 * for the first time must have the same ones
	 * @param bootstrapAllowed whether no group existed when this instance first started
	 * @param group how many losses the group bears
	 */
	public GroupFormation(ReplicaDescriptor self, List<String> seeds, boolean bootstrapAllowed, GroupSettings group) {
		this.self = self;
		this.seeds = List.copyOf(seeds);
		this.bootstrapAllowed = bootstrapAllowed;
		this.leaderLossTimeoutMillis = group.silenceBeforeReplacementMillis();
	}

	/**
	 * Decides which action to take now.
	 * @param observation the current observation of the instance
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the action, or empty if none is required
	 */
	public Optional<MembershipAction> nextAction(Observation observation, long nowMillis) {
		if (this.startMillis == Long.MIN_VALUE) {
			this.startMillis = nowMillis;
			this.lastLeaderSeenMillis = nowMillis;
			// A successor joins at once, so that the group bears the next loss soon.
			this.nextJoinMillis = this.bootstrapAllowed ? nowMillis + JOIN_INTERVAL_MILLIS : nowMillis;
		}
		trackMembership(observation, nowMillis);
		if (observation.isMember() && observation.hasLeader()) {
			this.lastLeaderSeenMillis = nowMillis;
			return Optional.empty();
		}
		if (!observation.isMember() && shouldBootstrap(observation, nowMillis)) {
			return Optional.of(new BootstrapGroup(observation.controlReplicas()));
		}
		boolean leaderLost = nowMillis - this.lastLeaderSeenMillis >= this.leaderLossTimeoutMillis;
		if (nowMillis < this.nextJoinMillis || (observation.isMember() && !leaderLost)) {
			return Optional.empty();
		}
		this.nextJoinMillis = nowMillis + JOIN_INTERVAL_MILLIS;
		return Optional.of(new JoinGroup(this.self));
	}

	private void trackMembership(Observation observation, long nowMillis) {
		Set<Long> observedIds = observation.controlReplicas()
			.stream()
			.map(ReplicaDescriptor::getId)
			.collect(Collectors.toSet());
		if (!observedIds.equals(this.discoveredReplicaIds)) {
			this.discoveredReplicaIds = observedIds;
			this.lastMembershipChangeMillis = nowMillis;
		}
	}

	private boolean shouldBootstrap(Observation observation, long nowMillis) {
		boolean isBootstrapSeed = this.seeds.stream()
			.min(Comparator.naturalOrder())
			.filter(this.self.getAddress()::equals)
			.isPresent();
		if (!this.bootstrapAllowed || !isBootstrapSeed) {
			return false;
		}
		Set<String> observedAddresses = new TreeSet<>();
		observation.controlReplicas().forEach((replica) -> observedAddresses.add(replica.getAddress()));
		long observedSeedCount = this.seeds.stream().filter(observedAddresses::contains).count();
		boolean membershipStable = nowMillis - this.lastMembershipChangeMillis >= STABLE_MEMBERSHIP_MILLIS;
		boolean majoritySuffices = nowMillis - this.startMillis >= PARTIAL_BOOTSTRAP_DELAY_MILLIS;
		return membershipStable && (observedSeedCount == this.seeds.size()
				|| (majoritySuffices && 2 * observedSeedCount > this.seeds.size()));
	}

	/**
	 * State of the cluster as observed by a control instance.
	 *
	 * @param isMember whether the replica of the instance belongs to a group
	 * @param hasLeader whether the replica is the leader or had recent contact with it
	 * @param controlReplicas the replicas of all live control instances, including this
	 * one
	 */
	public record Observation(boolean isMember, boolean hasLeader, List<ReplicaDescriptor> controlReplicas) {
	}

	/**
	 * An action that makes the instance a member of the group.
	 */
	public sealed interface MembershipAction {

	}

	/**
	 * Bootstraps the group.
	 *
	 * @param replicas the initial members
	 */
	public record BootstrapGroup(List<ReplicaDescriptor> replicas) implements MembershipAction {
	}

	/**
	 * Requests the leader to add the replica of this instance to the group.
	 *
	 * @param replica the replica to add
	 */
	public record JoinGroup(ReplicaDescriptor replica) implements MembershipAction {
	}

}
