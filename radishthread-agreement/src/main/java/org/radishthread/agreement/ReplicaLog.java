package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.radishthread.kernel.Assert;
import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.Snapshot;

/**
 * Holds the latest snapshot and the log entries of a replica in memory. A limited number
 * of entries before the end of the snapshot is retained, so that a follower that lags
 * only slightly receives entries instead of the snapshot.
 */
final class ReplicaLog {

	private static final int RETAINED_ENTRIES_BEFORE_SNAPSHOT = 256;

	private static final long RETAINED_BYTES_BEFORE_SNAPSHOT = 1024 * 1024;

	private Snapshot snapshot;

	// The index directly before the first entry in memory.
	private long baseIndex;

	private long baseTerm;

	private final List<LogEntry> entries = new ArrayList<>();

	ReplicaLog(Snapshot snapshot, List<LogEntry> entries) {
		this.snapshot = snapshot;
		this.baseIndex = snapshot.getIndex();
		this.baseTerm = snapshot.getTerm();
		append(entries);
	}

	Snapshot snapshot() {
		return this.snapshot;
	}

	long baseIndex() {
		return this.baseIndex;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	long termAt(long index) {
		return (index == this.baseIndex) ? this.baseTerm : entryAt(index).getTerm();
	}

	LogEntry entryAt(long index) {
		Assert.isTrue(index > this.baseIndex && index <= lastIndex(),
				"Index " + index + " is not in the in-memory log.");
		return this.entries.get((int) (index - this.baseIndex - 1));
	}

	boolean containsEntry(long index, long term) {
		return index >= this.baseIndex && index <= lastIndex() && termAt(index) == term;
	}

	List<LogEntry> entriesFrom(long index, int maximumCount) {
		int fromOffset = (int) (index - this.baseIndex - 1);
		int toOffset = Math.min(this.entries.size(), fromOffset + maximumCount);
		return (fromOffset >= toOffset) ? List.of() : new ArrayList<>(this.entries.subList(fromOffset, toOffset));
	}

	List<LogEntry> entriesAfterSnapshot() {
		return entriesFrom(this.snapshot.getIndex() + 1, Integer.MAX_VALUE - 1 - this.entries.size());
	}

	void append(List<LogEntry> newEntries) {
		for (LogEntry entry : newEntries) {
			Assert.isTrue(entry.getIndex() == lastIndex() + 1,
					"Entry " + entry.getIndex() + " must directly follow the last one.");
			this.entries.add(entry);
		}
	}

	void truncateFrom(long index) {
		this.entries.subList((int) (index - this.baseIndex - 1), this.entries.size()).clear();
	}

	// Returns the first index of the contiguous entries that have the term of the
	// entry at the given index.
	long firstIndexOfTermAt(long index) {
		long firstIndex = index;
		while (firstIndex - 1 > this.baseIndex && termAt(firstIndex - 1) == termAt(index)) {
			firstIndex--;
		}
		return firstIndex;
	}

	Configuration configuration() {
		return configurationAt(lastIndex());
	}

	Configuration configurationAt(long index) {
		long configurationIndex = configurationIndexAt(index);
		return (configurationIndex > this.snapshot.getIndex()) ? entryAt(configurationIndex).getConfiguration()
				: this.snapshot.getConfiguration();
	}

	long configurationIndexAt(long index) {
		for (long i = index; i > this.snapshot.getIndex(); i--) {
			if (entryAt(i).hasConfiguration()) {
				return i;
			}
		}
		return this.snapshot.getIndex();
	}

	// Sets a snapshot taken by this replica and drops entries that it includes.
	void compact(Snapshot newSnapshot) {
		this.snapshot = newSnapshot;
		long newBaseIndex = baseIndexBefore(newSnapshot.getIndex());
		this.baseTerm = termAt(newBaseIndex);
		this.entries.subList(0, (int) (newBaseIndex - this.baseIndex)).clear();
		this.baseIndex = newBaseIndex;
	}

	private long baseIndexBefore(long snapshotIndex) {
		long bytes = 0;
		long newBaseIndex = snapshotIndex;
		while (newBaseIndex > this.baseIndex && snapshotIndex - newBaseIndex < RETAINED_ENTRIES_BEFORE_SNAPSHOT
				&& bytes < RETAINED_BYTES_BEFORE_SNAPSHOT) {
			bytes += entryAt(newBaseIndex).getSerializedSize();
			newBaseIndex--;
		}
		return newBaseIndex;
	}

	// Installs a snapshot received from the leader. Entries after it are kept only
	// if the log contains the last entry that the snapshot includes.
	void install(Snapshot leaderSnapshot) {
		boolean matchesLog = containsEntry(leaderSnapshot.getIndex(), leaderSnapshot.getTerm());
		List<LogEntry> suffix = matchesLog ? entriesFrom(leaderSnapshot.getIndex() + 1, this.entries.size() + 1)
				: List.of();
		this.entries.clear();
		this.snapshot = leaderSnapshot;
		this.baseIndex = leaderSnapshot.getIndex();
		this.baseTerm = leaderSnapshot.getTerm();
		append(suffix);
	}

}
