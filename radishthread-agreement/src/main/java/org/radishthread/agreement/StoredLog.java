package org.radishthread.agreement;

import java.util.List;

import org.radishthread.protocol.HardState;
import org.radishthread.protocol.LogEntry;
import org.radishthread.protocol.Snapshot;

/**
 * All that a replica keeps on disk.
 *
 * @param hardState term, vote and group
 * @param snapshot the latest snapshot, with index zero if there is none
 * @param entries the entries behind the snapshot
 */
public record StoredLog(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {

	/**
	 * The content of an empty data folder.
	 */
	public static final StoredLog EMPTY = new StoredLog(HardState.getDefaultInstance(), Snapshot.getDefaultInstance(),
			List.of());

}
