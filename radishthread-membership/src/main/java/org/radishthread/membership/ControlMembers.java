package org.radishthread.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.radishthread.protocol.InstanceRecord;

/**
 * Tracks how many control instances there are. An instance that has just started has
 * heard of few others, so that what it has heard of is no base for a majority: the
 * members of the control group, as stored by the replica of this instance, go before it.
 * Not thread-safe.
 */
final class ControlMembers {

	private final InstanceTable instances;

	private Set<String> groupNames = Set.of();

	// The size of the control group as a control instance told it, or zero.
	private int reportedGroupSize;

	ControlMembers(InstanceTable instances) {
		this.instances = instances;
	}

	/**
	 * Records the members of the control group that have a vote.
	 * @param names the names of their instances, or an empty set if this instance has no
	 * replica of a group
	 */
	void updateGroup(Set<String> names) {
		this.groupNames = Set.copyOf(names);
	}

	/**
	 * Records the size of the control group as a control instance has it on disk.
	 * @param size the number of members that have a vote, or zero if that instance has no
	 * replica of a group
	 */
	void recordReportedGroupSize(int size) {
		if (size > 0) {
			this.reportedGroupSize = size;
		}
	}

	int groupSize() {
		return this.groupNames.size();
	}

	/**
	 * Returns how many control instances there are at least, by all that this instance
	 * has on disk, was told and has heard of.
	 * @param seeds the peer addresses of the seeds
	 * @return the number of instances
	 */
	int expectedCount(List<String> seeds) {
		return Math.max(quorum(seeds).size(), this.reportedGroupSize);
	}

	/**
	 * Returns the control instances of which a majority must store a change.
	 * @param seeds the peer addresses of the seeds
	 * @return the quorum
	 */
	ControlQuorum quorum(List<String> seeds) {
		if (!this.groupNames.isEmpty()) {
			return new ControlQuorum(this.groupNames, this.groupNames.size(), true);
		}
		Set<String> knownNames = new HashSet<>();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			if (entry.instance.getControl()) {
				knownNames.add(entry.instance.getName());
			}
		}
		return new ControlQuorum(knownNames, Math.max(knownNames.size(), countPossibleMembers(seeds)), false);
	}

	// A seed is a control instance, unless its record says otherwise.
	private int countPossibleMembers(List<String> seeds) {
		Set<String> otherAddresses = new HashSet<>();
		for (InstanceTable.Entry entry : this.instances.entries()) {
			InstanceRecord instance = entry.instance;
			if (!instance.getControl() || instance.getLeaving()) {
				otherAddresses.add(instance.getPeerAddress());
			}
		}
		return (int) seeds.stream().distinct().filter((seed) -> !otherAddresses.contains(seed)).count();
	}

}
