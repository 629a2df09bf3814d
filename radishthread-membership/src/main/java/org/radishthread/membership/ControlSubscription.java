package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.radishthread.protocol.InstanceRecord;

/**
 * Selects the control instances that a gateway reports to: one in its own availability
 * zone and one elsewhere, so that the loss of a zone does not take both. An instance that
 * does not respond in time, or that is cut off from most control instances or does not
 * know the newest rules, is avoided for a while. Not thread-safe.
 */
final class ControlSubscription {

	private static final long AVOIDANCE_MILLIS = 2_000;

	// More reports than are sent within the longest response time that matters.
	private static final int MAXIMUM_SENT_REPORTS = 32;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final int selfNameHash;

	private final String selfZone;

	private final Map<String, Contact> contacts = new HashMap<>();

	private final ResponseTimeout responseTimeout;

	// When each report was sent, by its heartbeat, in ascending order.
	private final Map<Long, Long> sentMillis = new LinkedHashMap<>();

	private String primaryAddress = "";

	private long lastResponseMillis = NEVER;

	ControlSubscription(String selfName, String selfZone, ResponseTimeout responseTimeout) {
		this.selfNameHash = NameHash.of(selfName);
		this.selfZone = selfZone;
		this.responseTimeout = responseTimeout;
	}

	// Returns the peer addresses to report to, the preferred one first.
	List<String> select(List<InstanceRecord> controlInstances, long nowMillis) {
		List<String> targets = selectTargets(controlInstances, nowMillis);
		this.contacts.forEach((address, contact) -> contact.awaitResponseIf(targets.contains(address)));
		return targets;
	}

	private List<String> selectTargets(List<InstanceRecord> controlInstances, long nowMillis) {
		InstanceRecord primary = first(controlInstances, this.selfZone, true, nowMillis);
		if (primary == null) {
			return List.of();
		}
		this.primaryAddress = primary.getPeerAddress();
		List<InstanceRecord> others = new ArrayList<>(controlInstances);
		others.remove(primary);
		InstanceRecord secondary = first(others, primary.getZone(), false, nowMillis);
		return (secondary != null) ? List.of(this.primaryAddress, secondary.getPeerAddress())
				: List.of(this.primaryAddress);
	}

	// Returns the instances that did not respond in time. They are avoided from now on.
	List<SilentInstance> leaveSilentInstances(long nowMillis) {
		long timeoutMillis = this.responseTimeout.millis();
		List<SilentInstance> silentInstances = new ArrayList<>();
		this.contacts.forEach((address, contact) -> {
			long silentMillis = contact.silentMillis(nowMillis);
			if (silentMillis > timeoutMillis) {
				contact.avoidedUntilMillis = nowMillis + AVOIDANCE_MILLIS;
				contact.reportedSinceMillis = NEVER;
				silentInstances.add(new SilentInstance(address, silentMillis, timeoutMillis));
			}
		});
		if (!silentInstances.isEmpty()) {
			this.responseTimeout.recordSilence();
		}
		return silentInstances;
	}

	// Whether a response of the instance arrived after a time.
	boolean hasRespondedSince(String address, long sinceMillis) {
		Contact contact = this.contacts.get(address);
		return contact != null && contact.lastResponseMillis >= sinceMillis;
	}

	private @Nullable InstanceRecord first(List<InstanceRecord> candidates, String zone, boolean inZone,
			long nowMillis) {
		Comparator<InstanceRecord> order = Comparator
			.comparingLong((InstanceRecord candidate) -> avoidedUntilMillis(candidate, nowMillis))
			.thenComparing((candidate) -> candidate.getZone().equals(zone) != inZone)
			.thenComparingLong((candidate) -> NameHash.position(candidate.getName(), this.selfNameHash));
		return candidates.stream().min(order).orElse(null);
	}

	private long avoidedUntilMillis(InstanceRecord candidate, long nowMillis) {
		String address = candidate.getPeerAddress();
		return isAvoided(address, nowMillis) ? this.contacts.get(address).avoidedUntilMillis : NEVER;
	}

	boolean isAvoided(String address, long nowMillis) {
		Contact contact = this.contacts.get(address);
		return contact != null && contact.avoidedUntilMillis > nowMillis;
	}

	void recordReport(String address, long heartbeat, long nowMillis) {
		Contact contact = this.contacts.computeIfAbsent(address, (key) -> new Contact());
		if (contact.reportedSinceMillis == NEVER) {
			contact.reportedSinceMillis = nowMillis;
		}
		this.sentMillis.putIfAbsent(heartbeat, nowMillis);
		if (this.sentMillis.size() > MAXIMUM_SENT_REPORTS) {
			this.sentMillis.remove(this.sentMillis.keySet().iterator().next());
		}
	}

	void recordResponse(String address, long reportHeartbeat, boolean current, long nowMillis) {
		Long reportedAtMillis = this.sentMillis.get(reportHeartbeat);
		if (reportedAtMillis != null) {
			this.responseTimeout.recordResponse(nowMillis - reportedAtMillis);
		}
		Contact contact = this.contacts.computeIfAbsent(address, (key) -> new Contact());
		contact.reportedSinceMillis = NEVER;
		contact.avoidedUntilMillis = current ? NEVER : nowMillis + AVOIDANCE_MILLIS;
		contact.lastResponseMillis = nowMillis;
		this.lastResponseMillis = nowMillis;
	}

	// Records a message of a control instance that responds to no report. It does not
	// show that reports arrive.
	void recordUpdate(long nowMillis) {
		this.lastResponseMillis = nowMillis;
	}

	boolean isPrimary(String address) {
		return address.equals(this.primaryAddress);
	}

	boolean isWithoutResponseSince(long sinceMillis) {
		return this.lastResponseMillis < sinceMillis;
	}

	// Forgets all reports, because the time in which their responses were due has passed
	// while this process was suspended.
	void reset() {
		this.contacts.clear();
		this.sentMillis.clear();
	}

	private static final class Contact {

		// When the first report after the last response was sent.
		private long reportedSinceMillis = NEVER;

		private long avoidedUntilMillis = NEVER;

		private long lastResponseMillis = NEVER;

		// An instance that is no longer reported to is not awaited.
		private void awaitResponseIf(boolean target) {
			this.reportedSinceMillis = target ? this.reportedSinceMillis : NEVER;
		}

		private long silentMillis(long nowMillis) {
			return (this.reportedSinceMillis != NEVER) ? nowMillis - this.reportedSinceMillis : 0;
		}

	}

}
