package org.radishthread.membership;

/**
 * The result of applying an announcement or a withdrawal.
 *
 * @param accepted whether the announcement was at least as new as the stored record; the
 * withdrawal of an earlier incarnation is accepted without effect
 * @param replicationId the replication that must succeed before the announcement may be
 * confirmed to the upstream, or zero if it may be confirmed at once
 */
public record AnnouncementOutcome(boolean accepted, long replicationId) {

	static AnnouncementOutcome stale() {
		return new AnnouncementOutcome(false, 0);
	}

	static AnnouncementOutcome confirmed() {
		return new AnnouncementOutcome(true, 0);
	}

}
