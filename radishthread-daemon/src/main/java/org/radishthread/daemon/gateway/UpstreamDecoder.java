package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

import org.radishthread.kernel.EventLog;
import org.radishthread.membership.Announcement;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.routing.Upstream;

/**
 * Decodes the records of announced upstreams, which come from files and from instances of
 * other versions. A record with an invalid value is logged once and left out; the others
 * hold. Not safe for concurrent use.
 */
final class UpstreamDecoder {

	private static final EventLog eventLog = EventLog.of(UpstreamDecoder.class);

	// The valid records of the previous list, most of which come again. Compared by
	// identity, because the hash code of a message loads the descriptors of all messages.
	private Set<UpstreamRecord> validRecords = Collections.newSetFromMap(new IdentityHashMap<>());

	// The names of the upstreams whose record in the previous list was invalid.
	private Set<String> invalidNames = Set.of();

	/**
	 * Selects the records without invalid values.
	 * @param records the records of all upstreams
	 * @return the valid ones, in the same order
	 */
	List<UpstreamRecord> selectValid(List<UpstreamRecord> records) {
		Set<String> currentlyInvalidNames = new HashSet<>();
		Set<UpstreamRecord> currentlyValid = Collections.newSetFromMap(new IdentityHashMap<>());
		List<UpstreamRecord> selectedRecords = new ArrayList<>();
		for (UpstreamRecord record : records) {
			if (this.validRecords.contains(record) || isValid(record)) {
				currentlyValid.add(record);
				selectedRecords.add(record);
			}
			else {
				currentlyInvalidNames.add(record.getName());
			}
		}
		this.validRecords = currentlyValid;
		this.invalidNames = currentlyInvalidNames;
		return selectedRecords;
	}

	private boolean isValid(UpstreamRecord record) {
		try {
			// Checks all values.
			new Announcement(record.getName(), record.getService(), record.getAddress(), record.getZone(),
					record.getSlots(), record.getIncarnation(), record.getSequence(), record.getState(),
					Announcement.MAXIMUM_LEASE_MILLIS, record.getColdMillis());
			return true;
		}
		catch (IllegalArgumentException ex) {
			if (!this.invalidNames.contains(record.getName())) {
				eventLog.failure("upstream-record-invalid", ex)
					.with("upstream", record.getName())
					.with("service", record.getService())
					.with("address", record.getAddress())
					.write();
			}
			return false;
		}
	}

	/**
	 * Decodes a valid record.
	 * @param record the record
	 * @return the upstream
	 */
	static Upstream toUpstream(UpstreamRecord record) {
		return new Upstream(record.getName(), record.getAddress(), record.getZone(), record.getSlots(),
				record.getIncarnation(), record.getState() == UpstreamState.READY, record.getSequence(),
				Integer.toUnsignedLong(record.getColdMillis()));
	}

}
