package org.radishthread.agreement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.radishthread.protocol.ReplicaDescriptor;

/**
 * Decides how a control instance comes to be a member of the control group without an
 * operator. On the first start of the whole system one of the seeds founds the group with
 * all control instances that it has come to know; every other instance asks to join. It
 * is a state machine: callers pass what they observe and the time.
 */
public final class GroupFormation {

	/**
	 * The time without a newly known control instance after which a group is founded, in
	 * milliseconds; instances of a system that starts come within some hundred.
	 */
	static final long SETTLING_MILLIS = 800;

	/**
	 * The time after which a group is founded though not all seeds are known, in
	 * milliseconds.
	 */
	static final long LONGEST_SETTLING_MILLIS = 6_000;

	/**
	 * The time that an instance without a group waits to be founded before it asks to
	 * join, in milliseconds.
	 */
	static final long JOIN_PAUSE_MILLIS = 2_000;

	/**
	 * The time without a leader after which a member asks whether it still is one, in
	 * milliseconds: several elections.
	 */
	static final long LEADERLESS_MILLIS = 6_000;

	private final ReplicaDescriptor self;

	private final List<String> seeds;

	private final boolean mayFound;

	private long startedMillis = Long.MIN_VALUE;

	private long settledSinceMillis;

	private long memberMillis;

	private long nextJoinMillis;

	private Set<Long> known = Set.of();

	/**
	 * Creates the formation of one instance.
	 * @param self the replica of the instance
	 * @param seeds the peer addresses of the seeds, the same at all instances of a system
	 * that starts for the first time
	 * @param mayFound whether there was no group when this instance first started
	 */
	public GroupFormation(ReplicaDescriptor self, List<String> seeds, boolean mayFound) {
		this.self = self;
		this.seeds = List.copyOf(seeds);
		this.mayFound = mayFound;
	}

	/**
	 * Decides what to do now.
	 * @param observed what the instance sees
	 * @param now the monotonic time, in milliseconds
	 * @return the step, or empty if there is nothing to do
	 */
	public Optional<MembershipAction> nextAction(Observation observed, long now) {
		if (this.startedMillis == Long.MIN_VALUE) {
			this.startedMillis = now;
			this.memberMillis = now;
			this.nextJoinMillis = now + JOIN_PAUSE_MILLIS;
		}
		settle(observed, now);
		if (observed.isMember() && observed.hasLeader()) {
			this.memberMillis = now;
			return Optional.empty();
		}
		if (!observed.isMember() && mayFoundNow(observed, now)) {
			return Optional.of(new BootstrapGroup(observed.controlReplicas()));
		}
		boolean leaderless = now - this.memberMillis >= LEADERLESS_MILLIS;
		if (now < this.nextJoinMillis || (observed.isMember() && !leaderless)) {
			return Optional.empty();
		}
		this.nextJoinMillis = now + JOIN_PAUSE_MILLIS;
		return Optional.of(new JoinGroup(this.self));
	}

	private void settle(Observation observed, long now) {
		Set<Long> seen = observed.controlReplicas().stream().map(ReplicaDescriptor::getId).collect(Collectors.toSet());
		if (!seen.equals(this.known)) {
			this.known = seen;
			this.settledSinceMillis = now;
		}
	}

	private boolean mayFoundNow(Observation observed, long now) {
		boolean founder = this.seeds.stream()
			.min(Comparator.naturalOrder())
			.filter(this.self.getAddress()::equals)
			.isPresent();
		if (!this.mayFound || !founder) {
			return false;
		}
		Set<String> present = new TreeSet<>();
		observed.controlReplicas().forEach((replica) -> present.add(replica.getAddress()));
		long found = this.seeds.stream().filter(present::contains).count();
		boolean settled = now - this.settledSinceMillis >= SETTLING_MILLIS;
		boolean patient = now - this.startedMillis >= LONGEST_SETTLING_MILLIS;
		return settled && (found == this.seeds.size() || (patient && 2 * found > this.seeds.size()));
	}

	/**
	 * What a control instance sees.
	 *
	 * @param isMember whether its replica belongs to a group
	 * @param hasLeader whether its replica leads or heard from a leader lately
	 * @param controlReplicas the replicas of all live control instances, with its own
	 */
	public record Observation(boolean isMember, boolean hasLeader, List<ReplicaDescriptor> controlReplicas) {
	}

	/**
	 * A step towards membership.
	 */
	public sealed interface MembershipAction {

	}

	/**
	 * Found the group.
	 *
	 * @param replicas its first members
	 */
	public record BootstrapGroup(List<ReplicaDescriptor> replicas) implements MembershipAction {
	}

	/**
	 * Ask the leader to be taken into the group.
	 *
	 * @param replica the replica that joins
	 */
	public record JoinGroup(ReplicaDescriptor replica) implements MembershipAction {
	}

}
