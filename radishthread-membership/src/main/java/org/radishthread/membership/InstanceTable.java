package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.InstanceRecord;

/**
 * Stores the records of the known instances, this one included, and the time of each
 * one's last heartbeat. An instance is live while heartbeats of it arrive, directly or in
 * the gossip of other instances, and it has not left.
 */
final class InstanceTable {

	/**
	 * The revision that an instance reports until its rules are confirmed.
	 */
	static final long UNCONFIRMED_REVISION = 0;

	// Half of the minimum, so that differences of times do not overflow.
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final String selfName;

	// Keyed by the hash of the name.
	private final Map<Integer, Entry> entries = new TreeMap<>();

	// Derived from the entries when it is needed; null after they changed.
	private @Nullable List<InstanceRecord> controlRecords;

	InstanceTable(String selfName) {
		this.selfName = selfName;
	}

	// Returns whether the record was added or replaced an older one.
	boolean merge(InstanceRecord receivedRecord, long nowMillis) {
		int nameHash = NameHash.of(receivedRecord.getName());
		Entry existingEntry = this.entries.get(nameHash);
		if (existingEntry != null && !isNewer(receivedRecord, existingEntry.instance)) {
			return false;
		}
		this.controlRecords = null;
		if (existingEntry == null) {
			this.entries.put(nameHash, new Entry(nameHash, receivedRecord, nowMillis));
			return true;
		}
		existingEntry.replace(receivedRecord);
		return true;
	}

	private static boolean isNewer(InstanceRecord receivedRecord, InstanceRecord existingRecord) {
		if (receivedRecord.getIncarnation() != existingRecord.getIncarnation()) {
			return receivedRecord.getIncarnation() > existingRecord.getIncarnation();
		}
		return receivedRecord.getLeaving() && !existingRecord.getLeaving();
	}

	// Returns false if there is no record of the instance.
	boolean recordHeartbeat(int nameHash, long heartbeat, long ruleRevision, long nowMillis) {
		Entry entry = this.entries.get(nameHash);
		if (entry == null) {
			return false;
		}
		if (heartbeat > entry.heartbeat) {
			entry.heartbeat = heartbeat;
			entry.lastHeartbeatMillis = nowMillis;
			entry.respondedMillis = entry.heartbeatClock.record(heartbeat, nowMillis);
			entry.ruleRevision = Math.max(entry.ruleRevision, ruleRevision);
		}
		return true;
	}

	// Each other instance counts as lost until its next heartbeat.
	void markAllLost() {
		for (Entry entry : this.entries.values()) {
			entry.lastHeartbeatMillis = NEVER;
			entry.respondedMillis = NEVER;
			entry.addedMillis = NEVER;
		}
	}

	void removeSilentSince(long sinceMillis) {
		removeIf((entry) -> !isSelf(entry) && Math.max(entry.lastHeartbeatMillis, entry.addedMillis) < sinceMillis);
	}

	void removeLeavingSilentSince(long sinceMillis) {
		removeIf((entry) -> entry.instance.getLeaving() && entry.lastHeartbeatMillis < sinceMillis);
	}

	private void removeIf(Predicate<Entry> filter) {
		if (this.entries.values().removeIf(filter)) {
			this.controlRecords = null;
		}
	}

	Collection<Entry> entries() {
		return this.entries.values();
	}

	@Nullable Entry find(String name) {
		return this.entries.get(NameHash.of(name));
	}

	boolean isLive(String name, long sinceMillis) {
		Entry entry = find(name);
		return name.equals(this.selfName)
				|| (entry != null && !entry.instance.getLeaving() && entry.lastHeartbeatMillis >= sinceMillis);
	}

	private boolean isSelf(Entry entry) {
		return entry.instance.getName().equals(this.selfName);
	}

	// Counts this instance and lost ones too, but not those that are leaving.
	int expectedCount() {
		return (int) this.entries.values().stream().filter((entry) -> !entry.instance.getLeaving()).count();
	}

	int liveCount(long sinceMillis) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> !entry.instance.getLeaving())
			.filter((entry) -> isSelf(entry) || entry.lastHeartbeatMillis >= sinceMillis)
			.count();
	}

	// Counts this instance and those that made a heartbeat since then, not those that are
	// leaving. A heartbeat that other instances relay arrives later than it was made.
	int responsiveCount(long sinceMillis) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> !entry.instance.getLeaving() && isResponsive(entry, sinceMillis))
			.count();
	}

	boolean isResponsive(Entry entry, long sinceMillis) {
		return isSelf(entry) || entry.respondedMillis >= sinceMillis;
	}

	int countOthersWithConfirmedRules(long sinceMillis) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> !isSelf(entry) && entry.lastHeartbeatMillis >= sinceMillis
					&& entry.ruleRevision > UNCONFIRMED_REVISION)
			.count();
	}

	long highestRuleRevision(long sinceMillis) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.lastHeartbeatMillis >= sinceMillis)
			.mapToLong((entry) -> entry.ruleRevision)
			.max()
			.orElse(0);
	}

	// The control instances that are not leaving, lost ones included.
	List<InstanceRecord> controlInstances() {
		return controlRecords().stream().filter((instance) -> !instance.getLeaving()).toList();
	}

	boolean hasControlInstance() {
		return !controlRecords().isEmpty();
	}

	private List<InstanceRecord> controlRecords() {
		List<InstanceRecord> records = this.controlRecords;
		if (records == null) {
			records = this.entries.values()
				.stream()
				.map((entry) -> entry.instance)
				.filter(InstanceRecord::getControl)
				.toList();
			this.controlRecords = records;
		}
		return records;
	}

	// The versions of all records.
	List<Integer> versions() {
		return this.entries.values().stream().map((entry) -> entry.version).toList();
	}

	// The records that an instance with the given versions lacks.
	List<InstanceRecord> findMissing(List<Integer> knownVersions) {
		Set<Integer> known = new HashSet<>(knownVersions);
		return this.entries.values()
			.stream()
			.filter((entry) -> !known.contains(entry.version))
			.map((entry) -> entry.instance)
			.toList();
	}

	void recordRevision(int nameHash, long ruleRevision) {
		Entry entry = this.entries.get(nameHash);
		if (entry != null) {
			entry.ruleRevision = Math.max(entry.ruleRevision, ruleRevision);
		}
	}

	// The versions of the records of the live instances, this one included.
	List<Integer> liveVersions(long sinceMillis) {
		List<Integer> versions = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (isLive(entry, sinceMillis)) {
				versions.add(entry.version);
			}
		}
		return versions;
	}

	long liveDigest(long sinceMillis) {
		long digest = 0;
		for (Entry entry : this.entries.values()) {
			if (isLive(entry, sinceMillis)) {
				digest += InstanceVersion.digest(entry.version);
			}
		}
		return digest;
	}

	private boolean isLive(Entry entry, long sinceMillis) {
		return !entry.instance.getLeaving() && (isSelf(entry) || entry.lastHeartbeatMillis >= sinceMillis);
	}

	// Counts exactly the given instances as live. Returns whether there is a current
	// record of each of them.
	boolean updateLive(Set<Integer> liveVersions, long nowMillis) {
		int foundCount = 0;
		boolean listsSelf = false;
		for (Entry entry : this.entries.values()) {
			boolean listed = liveVersions.contains(entry.version);
			listsSelf |= listed && isSelf(entry);
			foundCount += (listed && !isSelf(entry)) ? 1 : 0;
			entry.lastHeartbeatMillis = listed ? nowMillis : NEVER;
			entry.respondedMillis = entry.lastHeartbeatMillis;
		}
		return foundCount == liveVersions.size() - (listsSelf ? 1 : 0);
	}

	void renewLive(long sinceMillis, long nowMillis) {
		for (Entry entry : this.entries.values()) {
			if (isLive(entry, sinceMillis)) {
				entry.lastHeartbeatMillis = nowMillis;
				entry.respondedMillis = nowMillis;
			}
		}
	}

	boolean hasPeerAddress(String address) {
		return this.entries.values().stream().anyMatch((entry) -> entry.instance.getPeerAddress().equals(address));
	}

	// The other instances that are not leaving.
	List<InstanceRecord> otherInstances(Predicate<InstanceRecord> filter) {
		return this.entries.values()
			.stream()
			.filter((entry) -> !isSelf(entry) && !entry.instance.getLeaving() && filter.test(entry.instance))
			.map((entry) -> entry.instance)
			.toList();
	}

	List<String> otherPeerAddresses() {
		return otherInstances((instance) -> true).stream().map(InstanceRecord::getPeerAddress).toList();
	}

	List<String> otherControlPeerAddresses() {
		return otherInstances(InstanceRecord::getControl).stream().map(InstanceRecord::getPeerAddress).toList();
	}

	static final class Entry {

		final int nameHash;

		InstanceRecord instance;

		int version;

		long heartbeat;

		long ruleRevision;

		// When the last heartbeat arrived.
		long lastHeartbeatMillis = NEVER;

		final HeartbeatClock heartbeatClock = new HeartbeatClock();

		// When the last heartbeat was made, by the local clock.
		long respondedMillis = NEVER;

		long addedMillis;

		Entry(int nameHash, InstanceRecord instance, long nowMillis) {
			this.nameHash = nameHash;
			this.instance = instance;
			this.version = InstanceVersion.of(instance);
			this.addedMillis = nowMillis;
		}

		private void replace(InstanceRecord newInstance) {
			this.instance = newInstance;
			this.version = InstanceVersion.of(newInstance);
		}

	}

}
