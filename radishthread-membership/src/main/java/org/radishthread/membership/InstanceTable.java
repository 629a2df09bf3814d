package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.InstanceRecord;

/**
 * What this instance knows of the others: their records and when each was last heard of,
 * directly or through others.
 */
final class InstanceTable {

	/**
	 * The revision that an instance reports while it has not confirmed its rules.
	 */
	static final long UNCONFIRMED = 0;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String self;

	private final Map<Integer, Entry> entries = new TreeMap<>();

	InstanceTable(String self) {
		this.self = self;
	}

	// Returns whether the record was news.
	boolean merge(InstanceRecord received, long now) {
		int id = ShortName.of(received.getName());
		Entry known = this.entries.get(id);
		if (known == null) {
			this.entries.put(id, new Entry(received, now));
			return true;
		}
		if (!isNewer(received, known.instance)) {
			return false;
		}
		known.instance = received;
		return true;
	}

	private static boolean isNewer(InstanceRecord received, InstanceRecord known) {
		if (received.getIncarnation() != known.getIncarnation()) {
			return received.getIncarnation() > known.getIncarnation();
		}
		return received.getLeaving() && !known.getLeaving();
	}

	// Returns whether the instance is known.
	boolean heard(int id, long heartbeat, long revision, long now) {
		Entry known = this.entries.get(id);
		if (known == null) {
			return false;
		}
		if (heartbeat > known.heartbeat) {
			known.heartbeat = heartbeat;
			known.heardMillis = now;
			known.revision = Math.max(known.revision, revision);
		}
		return true;
	}

	void distrust() {
		for (Entry entry : this.entries.values()) {
			entry.heardMillis = NEVER;
			entry.addedMillis = NEVER;
		}
	}

	void forgetSilentSince(long millis) {
		this.entries.values()
			.removeIf((entry) -> !isSelf(entry) && Math.max(entry.heardMillis, entry.addedMillis) < millis);
	}

	void forgetLeftBefore(long millis) {
		this.entries.values().removeIf((entry) -> entry.instance.getLeaving() && entry.heardMillis < millis);
	}

	Collection<Entry> entries() {
		return this.entries.values();
	}

	@Nullable Entry find(String name) {
		return this.entries.get(ShortName.of(name));
	}

	boolean isAlive(String name, long since) {
		Entry entry = find(name);
		return name.equals(this.self) || (entry != null && !entry.instance.getLeaving() && entry.heardMillis >= since);
	}

	private boolean isSelf(Entry entry) {
		return entry.instance.getName().equals(this.self);
	}

	int expectedCount() {
		return (int) this.entries.values().stream().filter((entry) -> !entry.instance.getLeaving()).count();
	}

	int heardCount(long since) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> !entry.instance.getLeaving())
			.filter((entry) -> isSelf(entry) || entry.heardMillis >= since)
			.count();
	}

	// The others heard of that had confirmed their rules.
	int confirmedSince(long since) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> !isSelf(entry) && entry.heardMillis >= since && entry.revision > UNCONFIRMED)
			.count();
	}

	long highestRevisionHeard(long since) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.heardMillis >= since)
			.mapToLong((entry) -> entry.revision)
			.max()
			.orElse(0);
	}

	List<String> otherAddresses() {
		return addresses((entry) -> true);
	}

	List<String> otherControlAddresses() {
		return addresses((entry) -> entry.instance.getControl());
	}

	private List<String> addresses(Predicate<Entry> wanted) {
		List<String> addresses = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (!isSelf(entry) && !entry.instance.getLeaving() && wanted.test(entry)) {
				addresses.add(entry.instance.getPeerAddress());
			}
		}
		return addresses;
	}

	static final class Entry {

		InstanceRecord instance;

		long heartbeat;

		long revision;

		long heardMillis = NEVER;

		long addedMillis;

		Entry(InstanceRecord instance, long now) {
			this.instance = instance;
			this.addedMillis = now;
		}

	}

}
