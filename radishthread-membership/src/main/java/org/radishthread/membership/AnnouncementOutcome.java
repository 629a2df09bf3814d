package org.radishthread.membership;

/**
 * What became of an announcement.
 *
 * @param current whether it was not older than what was known
 * @param replication the replication that must succeed before the announcement may be
 * confirmed, or zero if none is needed
 */
public record AnnouncementOutcome(boolean current, long replication) {

	static AnnouncementOutcome stale() {
		return new AnnouncementOutcome(false, 0);
	}

	static AnnouncementOutcome confirmed() {
		return new AnnouncementOutcome(true, 0);
	}

}
