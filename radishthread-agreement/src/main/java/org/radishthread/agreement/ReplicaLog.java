package org.radishthread.agreement;

import java.util.ArrayList;
import java.util.List;

import org.radishthread.kernel.Assert;
import org.radishthread.protocol.Configuration;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.Snapshot;

/**
 * The entries of a replica in memory, on top of the latest snapshot. A few entries before
 * the snapshot are kept for followers that lag a little.
 */
final class ReplicaLog {

	private static final int ENTRIES_KEPT_BEFORE_SNAPSHOT = 256;

	private static final long BYTES_KEPT_BEFORE_SNAPSHOT = 1024 * 1024;

	private Snapshot snapshot;

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
		Assert.isTrue(index > this.baseIndex && index <= lastIndex(), "Index " + index + " is not in the log.");
		return this.entries.get((int) (index - this.baseIndex - 1));
	}

	boolean holds(long index, long term) {
		return index >= this.baseIndex && index <= lastIndex() && termAt(index) == term;
	}

	List<LogEntry> entriesFrom(long index, int maximum) {
		int from = (int) (index - this.baseIndex - 1);
		int to = Math.min(this.entries.size(), from + maximum);
		return (from >= to) ? List.of() : new ArrayList<>(this.entries.subList(from, to));
	}

	List<LogEntry> entriesAfterSnapshot() {
		return entriesFrom(this.snapshot.getIndex() + 1, Integer.MAX_VALUE - 1 - this.entries.size());
	}

	void append(List<LogEntry> added) {
		for (LogEntry entry : added) {
			Assert.isTrue(entry.getIndex() == lastIndex() + 1, "Entry " + entry.getIndex() + " must follow the last.");
			this.entries.add(entry);
		}
	}

	void truncateFrom(long index) {
		this.entries.subList((int) (index - this.baseIndex - 1), this.entries.size()).clear();
	}

	// Returns the first index of the run of entries with the term that stands at an
	// index.
	long firstIndexOfTermAt(long index) {
		long first = index;
		while (first - 1 > this.baseIndex && termAt(first - 1) == termAt(index)) {
			first--;
		}
		return first;
	}

	Configuration configuration() {
		return configurationAt(lastIndex());
	}

	Configuration configurationAt(long index) {
		long found = configurationIndexAt(index);
		return (found > this.snapshot.getIndex()) ? entryAt(found).getConfiguration()
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

	// Takes a snapshot of entries that this log holds.
	void compact(Snapshot taken) {
		this.snapshot = taken;
		long keepAfter = firstKeptBefore(taken.getIndex());
		this.baseTerm = termAt(keepAfter);
		this.entries.subList(0, (int) (keepAfter - this.baseIndex)).clear();
		this.baseIndex = keepAfter;
	}

	private long firstKeptBefore(long snapshotIndex) {
		long bytes = 0;
		long keepAfter = snapshotIndex;
		while (keepAfter > this.baseIndex && snapshotIndex - keepAfter < ENTRIES_KEPT_BEFORE_SNAPSHOT
				&& bytes < BYTES_KEPT_BEFORE_SNAPSHOT) {
			bytes += entryAt(keepAfter).getSerializedSize();
			keepAfter--;
		}
		return keepAfter;
	}

	// Installs a snapshot from a leader; entries behind it survive only if they fit.
	void install(Snapshot received) {
		boolean fits = holds(received.getIndex(), received.getTerm());
		List<LogEntry> suffix = fits ? entriesFrom(received.getIndex() + 1, this.entries.size() + 1) : List.of();
		this.entries.clear();
		this.snapshot = received;
		this.baseIndex = received.getIndex();
		this.baseTerm = received.getTerm();
		append(suffix);
	}

}
