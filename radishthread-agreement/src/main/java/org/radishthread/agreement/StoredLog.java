package org.radishthread.agreement;

import java.util.List;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.Snapshot;

/**
 * Persistent state of a replica.
 *
 * @param hardState the current term, the vote in it and the group
 * @param snapshot the latest snapshot, with index zero if there is none
 * @param entries the entries after the snapshot
 */
public record StoredLog(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {

	/**
	 * The content of an empty data folder.
	 */
	public static final StoredLog EMPTY = new StoredLog(HardState.getDefaultInstance(), Snapshot.getDefaultInstance(),
			List.of());

}
