package org.radishthread.routing.allotment;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.HomeAssignment;

/**
 * Knows the lender of each workspace, by rendezvous hashing over the live gateways, and
 * since when an instance has been the lender. Points in time are monotonic, in
 * nanoseconds. Not safe for concurrent use.
 */
public final class LenderDirectory {

	private static final int MAXIMUM_REMEMBERED_CHANGES = 32;

	// The latest members come first.
	private final Deque<Membership> memberships = new ArrayDeque<>();

	/**
	 * Sets the gateways that can be lenders.
	 * @param members the live gateways, or none if this instance does not know them for
	 * certain
	 * @param nowNanos the monotonic time, in nanoseconds
	 * @return whether they have changed
	 */
	public boolean update(List<Member> members, long nowNanos) {
		Membership latest = this.memberships.peekFirst();
		if (latest != null && latest.members().equals(members)) {
			return false;
		}
		this.memberships.addFirst(new Membership(members, nowNanos, new HashMap<>()));
		if (this.memberships.size() > MAXIMUM_REMEMBERED_CHANGES) {
			this.memberships.removeLast();
		}
		return true;
	}

	/**
	 * Returns the lender of a workspace.
	 * @param workspace the name of the workspace
	 * @return the peer address of the lender, or {@code null} if none is known
	 */
	public @Nullable String lenderAddress(String workspace) {
		Membership latest = this.memberships.peekFirst();
		return (latest != null) ? latest.lenderAddress(workspace) : null;
	}

	/**
	 * Returns since when an instance has been the lender of a workspace, or had been when
	 * another became it, as far as this instance remembers.
	 * @param workspace the name of the workspace
	 * @param address the peer address of the instance
	 * @return the monotonic time, in nanoseconds, or empty if it was neither
	 */
	public OptionalLong lenderSinceNanos(String workspace, String address) {
		OptionalLong sinceNanos = OptionalLong.empty();
		String successor = lenderAddress(workspace);
		for (Membership membership : this.memberships) {
			String lender = membership.lenderAddress(workspace);
			if (address.equals(lender)) {
				sinceNanos = OptionalLong.of(membership.sinceNanos());
			}
			else if (sinceNanos.isPresent() || !Objects.equals(lender, successor)) {
				break;
			}
		}
		return sinceNanos;
	}

	/**
	 * Returns the instance that was the lender of a workspace before the current one, or
	 * that would have been without it.
	 * @param workspace the name of the workspace
	 * @return the peer address of the former lender, or {@code null} if none is known
	 */
	public @Nullable String formerLenderAddress(String workspace) {
		Membership latest = this.memberships.peekFirst();
		if (latest == null) {
			return null;
		}
		String lender = latest.lenderAddress(workspace);
		return this.memberships.stream()
			.map((membership) -> Optional.ofNullable(membership.lenderAddress(workspace)))
			.filter((former) -> !former.equals(Optional.ofNullable(lender)))
			.findFirst()
			.orElseGet(() -> Optional.ofNullable(latest.without(lender).lenderAddress(workspace)))
			.orElse(null);
	}

	/**
	 * Gateway that can be a lender.
	 *
	 * @param name the name of the instance
	 * @param peerAddress the address for messages of other instances
	 */
	public record Member(String name, String peerAddress) {
	}

	private record Membership(List<Member> members, long sinceNanos, Map<String, String> lenders) {

		private Membership without(@Nullable String address) {
			return new Membership(
					this.members.stream().filter((member) -> !member.peerAddress().equals(address)).toList(),
					this.sinceNanos, new HashMap<>());
		}

		private @Nullable String lenderAddress(String workspace) {
			if (this.members.isEmpty()) {
				return null;
			}
			return this.lenders.computeIfAbsent(workspace, (name) -> {
				String lenderName = HomeAssignment.findHome(name, this.members.stream().map(Member::name).toList());
				return this.members.stream()
					.filter((member) -> member.name().equals(lenderName))
					.map(Member::peerAddress)
					.min(Comparator.naturalOrder())
					.orElseThrow();
			});
		}

	}

}
