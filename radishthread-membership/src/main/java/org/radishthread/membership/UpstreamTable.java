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
 * The announced upstreams. Incarnation and sequence order the states of an upstream, so
 * that a late announcement never undoes a newer one. One instance, the holder, keeps the
 * lease of an upstream; the others learn only of changes.
 */
final class UpstreamTable {

	private static final long LEFT_KEPT_MILLIS = 600_000;

	private final String self;

	private final Map<String, Entry> entries = new TreeMap<>();

	UpstreamTable(String self) {
		this.self = self;
	}

	Collection<Entry> entries() {
		return this.entries.values();
	}

	@Nullable Entry find(String name) {
		return this.entries.get(name);
	}

	// Returns whether the record was news.
	boolean merge(UpstreamRecord received, long now) {
		Entry known = this.entries.get(received.getName());
		if (known == null) {
			this.entries.put(received.getName(), new Entry(received, now));
			return true;
		}
		if (!isNewer(received, known.upstream)) {
			return false;
		}
		known.upstream = received;
		known.replicated = false;
		known.renewedMillis = now;
		known.lastSequence = Math.max(known.lastSequence, received.getSequence());
		return true;
	}

	static boolean isNewer(UpstreamRecord received, UpstreamRecord known) {
		if (received.getIncarnation() != known.getIncarnation()) {
			return received.getIncarnation() > known.getIncarnation();
		}
		if (received.getSequence() != known.getSequence()) {
			return received.getSequence() > known.getSequence();
		}
		return received.getStateValue() > known.getStateValue();
	}

	// Returns whether the renewal belongs to a lease that this instance holds.
	boolean renew(String name, long incarnation, long sequence, long now) {
		Entry known = this.entries.get(name);
		if (known == null || !known.upstream.getHolder().equals(this.self)
				|| known.upstream.getIncarnation() != incarnation || sequence <= known.lastSequence
				|| known.upstream.getState() == UpstreamState.LEFT) {
			return false;
		}
		known.lastSequence = sequence;
		known.renewedMillis = now;
		return true;
	}

	void markReplicated(UpstreamRecord upstream) {
		Entry known = this.entries.get(upstream.getName());
		if (known != null && known.upstream.equals(upstream)) {
			known.replicated = true;
		}
	}

	void renewAll(long now) {
		this.entries.values().forEach((entry) -> entry.renewedMillis = now);
	}

	// Ends the leases that ran out and returns the changed records.
	List<UpstreamRecord> expire(long now, Predicate<String> holderAlive) {
		List<UpstreamRecord> changed = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			boolean held = entry.upstream.getHolder().equals(this.self);
			if (!held && holderAlive.test(entry.upstream.getHolder())) {
				entry.renewedMillis = now;
			}
			if (entry.isExpired(now)) {
				entry.upstream = entry.upstream.toBuilder()
					.setState(UpstreamState.LEFT)
					.setSequence(Math.max(entry.lastSequence, entry.upstream.getSequence()))
					.build();
				entry.renewedMillis = now;
				changed.add(entry.upstream);
			}
		}
		this.entries.values().removeIf((entry) -> entry.isForgotten(now));
		return changed;
	}

	static final class Entry {

		UpstreamRecord upstream;

		long lastSequence;

		long renewedMillis;

		// Whether this instance saw that enough others hold the record.
		boolean replicated;

		Entry(UpstreamRecord upstream, long now) {
			this.upstream = upstream;
			this.lastSequence = upstream.getSequence();
			this.renewedMillis = now;
		}

		private boolean isExpired(long now) {
			return this.upstream.getState() != UpstreamState.LEFT
					&& now - this.renewedMillis > this.upstream.getLeaseMillis();
		}

		private boolean isForgotten(long now) {
			return this.upstream.getState() == UpstreamState.LEFT && now - this.renewedMillis > LEFT_KEPT_MILLIS;
		}

	}

}
