package org.radishthread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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

	// Two report intervals. With the interval itself and the time to connect to another
	// instance, a silent connection is replaced within two seconds.
	private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

	private static final long AVOIDANCE_MILLIS = 2_000;

	// Each response that does not arrive doubles the time allowed for the next ones, so
	// that overloaded instances are not sent more reports because they are slow.
	private static final int MAXIMUM_TIMEOUT_DOUBLINGS = 3;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final int selfNameHash;

	private final String selfZone;

	private final Map<String, Contact> contacts = new HashMap<>();

	private final List<String> silentAddresses = new ArrayList<>();

	private String primaryAddress = "";

	private long lastResponseMillis = NEVER;

	private int timeoutDoublings;

	ControlSubscription(String selfName, String selfZone) {
		this.selfNameHash = NameHash.of(selfName);
		this.selfZone = selfZone;
	}

	// Returns the peer addresses to report to, the preferred one first.
	List<String> select(List<InstanceRecord> controlInstances, long nowMillis) {
		avoidSilentInstances(nowMillis);
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

	private void avoidSilentInstances(long nowMillis) {
		this.contacts.forEach((address, contact) -> {
			if (contact.reportedSinceMillis != NEVER
					&& nowMillis - contact.reportedSinceMillis > responseTimeoutMillis()) {
				this.timeoutDoublings = Math.min(MAXIMUM_TIMEOUT_DOUBLINGS, this.timeoutDoublings + 1);
				contact.avoidedUntilMillis = nowMillis + AVOIDANCE_MILLIS;
				contact.reportedSinceMillis = NEVER;
				this.silentAddresses.add(address);
			}
		});
	}

	private long responseTimeoutMillis() {
		return RESPONSE_TIMEOUT_MILLIS << this.timeoutDoublings;
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
		Contact contact = this.contacts.get(candidate.getPeerAddress());
		return (contact != null && contact.avoidedUntilMillis > nowMillis) ? contact.avoidedUntilMillis : NEVER;
	}

	void recordReport(String address, long nowMillis) {
		Contact contact = this.contacts.computeIfAbsent(address, (key) -> new Contact());
		if (contact.reportedSinceMillis == NEVER) {
			contact.reportedSinceMillis = nowMillis;
		}
	}

	void recordResponse(String address, boolean current, long nowMillis) {
		Contact contact = this.contacts.computeIfAbsent(address, (key) -> new Contact());
		if (contact.reportedSinceMillis != NEVER
				&& nowMillis - contact.reportedSinceMillis < RESPONSE_TIMEOUT_MILLIS / 2) {
			this.timeoutDoublings = 0;
		}
		contact.reportedSinceMillis = NEVER;
		contact.avoidedUntilMillis = current ? NEVER : nowMillis + AVOIDANCE_MILLIS;
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
	}

	// The addresses of instances that did not respond since the last call. The
	// connections to them may have lost their state on the path.
	List<String> drainSilentAddresses() {
		List<String> drainedAddresses = List.copyOf(this.silentAddresses);
		this.silentAddresses.clear();
		return drainedAddresses;
	}

	private static final class Contact {

		// When the first report without a response was sent.
		private long reportedSinceMillis = NEVER;

		private long avoidedUntilMillis = NEVER;

	}

}
