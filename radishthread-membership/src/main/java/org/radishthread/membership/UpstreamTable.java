package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;

/**
 * Stores the records of announced upstreams. The records of an upstream are ordered by
 * incarnation, a number that grows with each start of the upstream, and then by sequence,
 * so that a late announcement never replaces a newer one. An upstream leaves when its
 * lease, the time within which it must announce itself again, expires. One instance, the
 * holder, tracks the renewals of a lease; the others receive only changes.
 */
final class UpstreamTable {

	// How long the record of an upstream that left is kept, so that a late announcement
	// does not add it again.
	private static final long LEFT_RETENTION_MILLIS = 600_000;

	private final String selfName;

	private final Map<String, Entry> entries = new TreeMap<>();

	UpstreamTable(String selfName) {
		this.selfName = selfName;
	}

	Collection<Entry> entries() {
		return this.entries.values();
	}

	@Nullable Entry find(String name) {
		return this.entries.get(name);
	}

	// Returns whether the record was added or replaced an older one.
	boolean merge(UpstreamRecord received, long nowMillis) {
		Entry existing = this.entries.get(received.getName());
		if (existing == null) {
			this.entries.put(received.getName(), new Entry(received, nowMillis));
			return true;
		}
		if (!isNewer(received, existing.upstream)) {
			return false;
		}
		existing.upstream = received;
		existing.replicated = false;
		existing.lastRenewalMillis = nowMillis;
		existing.highestSequence = Math.max(existing.highestSequence, received.getSequence());
		return true;
	}

	static boolean isNewer(UpstreamRecord received, UpstreamRecord existing) {
		if (received.getIncarnation() != existing.getIncarnation()) {
			return received.getIncarnation() > existing.getIncarnation();
		}
		if (received.getSequence() != existing.getSequence()) {
			return received.getSequence() > existing.getSequence();
		}
		return received.getStateValue() > existing.getStateValue();
	}

	// Returns whether this instance holds the lease and renewed it.
	boolean renew(String name, long incarnation, long sequence, long nowMillis) {
		Entry existing = this.entries.get(name);
		if (existing == null || !existing.upstream.getHolder().equals(this.selfName)
				|| existing.upstream.getIncarnation() != incarnation || sequence <= existing.highestSequence
				|| existing.upstream.getState() == UpstreamState.LEFT) {
			return false;
		}
		existing.highestSequence = sequence;
		existing.lastRenewalMillis = nowMillis;
		return true;
	}

	void markReplicated(UpstreamRecord upstream) {
		Entry existing = this.entries.get(upstream.getName());
		if (existing != null && existing.upstream.equals(upstream)) {
			existing.replicated = true;
		}
	}

	void renewAll(long nowMillis) {
		this.entries.values().forEach((entry) -> entry.lastRenewalMillis = nowMillis);
	}

	// Marks the upstreams whose leases expired as left and returns their records. While
	// another holder is live, its leases do not expire here.
	List<UpstreamRecord> expireLeases(long nowMillis, Predicate<String> holderLive) {
		List<UpstreamRecord> expired = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			boolean heldBySelf = entry.upstream.getHolder().equals(this.selfName);
			if (!heldBySelf && holderLive.test(entry.upstream.getHolder())) {
				entry.lastRenewalMillis = nowMillis;
			}
			if (entry.isLeaseExpired(nowMillis)) {
				entry.upstream = entry.upstream.toBuilder()
					.setState(UpstreamState.LEFT)
					.setSequence(Math.max(entry.highestSequence, entry.upstream.getSequence()))
					.build();
				entry.lastRenewalMillis = nowMillis;
				expired.add(entry.upstream);
			}
		}
		this.entries.values().removeIf((entry) -> entry.isRetentionOver(nowMillis));
		return expired;
	}

	static final class Entry {

		UpstreamRecord upstream;

		// Includes renewals, which do not change the record.
		long highestSequence;

		// The start of the lease or, for an upstream that left, of the retention.
		long lastRenewalMillis;

		// Whether this instance has replicated the record to enough other instances.
		boolean replicated;

		Entry(UpstreamRecord upstream, long nowMillis) {
			this.upstream = upstream;
			this.highestSequence = upstream.getSequence();
			this.lastRenewalMillis = nowMillis;
		}

		private boolean isLeaseExpired(long nowMillis) {
			return this.upstream.getState() != UpstreamState.LEFT
					&& nowMillis - this.lastRenewalMillis > this.upstream.getLeaseMillis();
		}

		private boolean isRetentionOver(long nowMillis) {
			return this.upstream.getState() == UpstreamState.LEFT
					&& nowMillis - this.lastRenewalMillis > LEFT_RETENTION_MILLIS;
		}

	}

}
