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
 * incarnation, a number that grows with each start of the upstream, then by sequence, and
 * then by state, so that a late announcement never replaces a newer one. An upstream also
 * counts as left when its lease, the time within which it must announce itself again,
 * expires. One instance, the holder, tracks the renewals of a lease; the others receive
 * only changes.
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
	boolean merge(UpstreamRecord receivedRecord, long nowMillis) {
		Entry existingEntry = this.entries.get(receivedRecord.getName());
		if (existingEntry == null) {
			this.entries.put(receivedRecord.getName(), new Entry(receivedRecord, nowMillis));
			return true;
		}
		if (!isNewer(receivedRecord, existingEntry.upstream)) {
			return false;
		}
		existingEntry.upstream = receivedRecord;
		existingEntry.replicated = false;
		existingEntry.withdrawn = false;
		existingEntry.assumedLeft = false;
		existingEntry.lastRenewalMillis = nowMillis;
		existingEntry.coldUntilMillis = nowMillis + receivedRecord.getColdMillis();
		existingEntry.highestSequence = Math.max(existingEntry.highestSequence, receivedRecord.getSequence());
		return true;
	}

	static boolean isNewer(UpstreamRecord receivedRecord, UpstreamRecord existingRecord) {
		if (receivedRecord.getIncarnation() != existingRecord.getIncarnation()) {
			return receivedRecord.getIncarnation() > existingRecord.getIncarnation();
		}
		if (receivedRecord.getSequence() != existingRecord.getSequence()) {
			return receivedRecord.getSequence() > existingRecord.getSequence();
		}
		return receivedRecord.getStateValue() > existingRecord.getStateValue();
	}

	// Returns whether this instance holds the lease and renewed it.
	boolean renew(String name, long incarnation, long sequence, long nowMillis) {
		Entry existingEntry = this.entries.get(name);
		if (existingEntry == null || !existingEntry.upstream.getHolder().equals(this.selfName)
				|| existingEntry.upstream.getIncarnation() != incarnation || sequence <= existingEntry.highestSequence
				|| existingEntry.upstream.getState() == UpstreamState.LEFT) {
			return false;
		}
		existingEntry.highestSequence = sequence;
		existingEntry.lastRenewalMillis = nowMillis;
		return true;
	}

	void markReplicated(UpstreamRecord upstream) {
		Entry existingEntry = this.entries.get(upstream.getName());
		if (existingEntry != null && existingEntry.upstream.equals(upstream)) {
			existingEntry.replicated = true;
		}
	}

	void renewAll(long nowMillis) {
		this.entries.values().forEach((entry) -> entry.lastRenewalMillis = nowMillis);
	}

	// Marks the upstreams whose leases expired as left and returns their records. While
	// another holder is live, its leases do not expire here. Also removes the records of
	// upstreams that left longer ago than the retention.
	List<UpstreamRecord> expireLeases(long nowMillis, Predicate<String> holderLive) {
		List<UpstreamRecord> expiredRecords = new ArrayList<>();
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
				entry.replicated = false;
				entry.withdrawn = false;
				entry.assumedLeft = !heldBySelf;
				entry.lastRenewalMillis = nowMillis;
				expiredRecords.add(entry.upstream);
			}
		}
		this.entries.values().removeIf((entry) -> entry.isRetentionOver(nowMillis));
		return expiredRecords;
	}

	static final class Entry {

		UpstreamRecord upstream;

		// The highest sequence received, also in renewals
		// that leave the record as it is.
		long highestSequence;

		// The start of the lease or, for an upstream that left, of the retention.
		long lastRenewalMillis;

		// The end of the coldness that the upstream announced, counted from the receipt.
		long coldUntilMillis;

		// Whether this instance has replicated the record to a majority of the control
		// group.
		boolean replicated;

		// Whether the record was made by a withdrawal at this instance.
		boolean withdrawn;

		// Whether the upstream counts as left because this instance, which does not hold
		// its lease, has not heard of it and its holder.
		boolean assumedLeft;

		Entry(UpstreamRecord upstream, long nowMillis) {
			this.upstream = upstream;
			this.highestSequence = upstream.getSequence();
			this.lastRenewalMillis = nowMillis;
			this.coldUntilMillis = nowMillis + upstream.getColdMillis();
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
