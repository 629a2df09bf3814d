package org.radishthread.membership;

import java.util.Set;

import org.radishthread.kernel.Assert;

/**
 * The control instances of which a majority must store a change before it is confirmed.
 *
 * @param memberNames the names of the control instances that count
 * @param size the number of instances that a majority is taken of, at least the number of
 * names
 * @param agreed whether these are the members of the control group, which each replica
 * has on disk; otherwise they are the control instances that this instance has heard of,
 * and there may be others
 */
record ControlQuorum(Set<String> memberNames, int size, boolean agreed) {

	ControlQuorum {
		Assert.isTrue(size >= memberNames.size(),
				"Quorum size " + size + " must be at least the number of its members, " + memberNames.size() + '.');
		memberNames = Set.copyOf(memberNames);
	}

	int countMembers(Set<String> names) {
		return (int) this.memberNames.stream().filter(names::contains).count();
	}

	boolean isMajority(int count) {
		return 2 * count > this.size;
	}

}
