package org.radishthread.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.UpstreamNotice;
import org.radishthread.protocol.UpstreamRecord;

/**
 * Brings changed records of upstreams to all live instances and tells when a record is
 * safe: a majority of control instances holds it, and every live instance does or had
 * time to take it. A record stays safe when the instance that confirmed it is lost at
 * once, because those that hold it spread it further.
 */
final class AnnouncementReplication {

	/**
	 * The time that live instances get to confirm before a majority of control instances
	 * suffices, in milliseconds; upstreams wait at most 1,000 for an answer.
	 */
	static final long ALL_LIVE_MILLIS = 400;

	/**
	 * The time after which a replication without a majority counts as failed, in
	 * milliseconds.
	 */
	static final long MAJORITY_MILLIS = 900;

	/**
	 * How long unconfirmed instances are sent the record again, in milliseconds.
	 */
	static final long REPEAT_MILLIS = 8_000;

	private final Map<Long, Pending> pending = new LinkedHashMap<>();

	private final List<ReplicationResult> results = new ArrayList<>();

	private long lastId;

	// Joins a replication of the same record that is still undecided.
	long start(UpstreamRecord upstream, long now) {
		for (Pending known : this.pending.values()) {
			if (!known.decided && known.upstream.equals(upstream)) {
				return known.id;
			}
		}
		this.lastId++;
		this.pending.put(this.lastId, new Pending(this.lastId, upstream, now));
		return this.lastId;
	}

	void confirmed(long id, String instance) {
		Pending known = this.pending.get(id);
		if (known != null) {
			known.confirmed.add(instance);
		}
	}

	List<Outgoing> due(Recipients recipients) {
		List<Outgoing> messages = new ArrayList<>();
		for (Pending each : this.pending.values()) {
			Envelope envelope = Envelope.newBuilder()
				.setUpstreamNotice(UpstreamNotice.newBuilder().setId(each.id).setUpstream(each.upstream))
				.build();
			recipients.live()
				.stream()
				.filter((recipient) -> !each.confirmed.contains(recipient.name()))
				.forEach((recipient) -> messages.add(new Outgoing(recipient.address(), envelope)));
		}
		return messages;
	}

	// Decides what can be decided and returns the records that became safe.
	List<UpstreamRecord> decide(Recipients recipients, long now) {
		List<UpstreamRecord> safe = new ArrayList<>();
		Iterator<Pending> iterator = this.pending.values().iterator();
		while (iterator.hasNext()) {
			Pending each = iterator.next();
			long age = now - each.startedMillis;
			boolean all = recipients.live().stream().allMatch((recipient) -> each.confirmed.contains(recipient.name()));
			boolean majority = recipients.isControlMajority(each.confirmed);
			if (!each.decided && majority && (all || age >= ALL_LIVE_MILLIS)) {
				each.decided = true;
				safe.add(each.upstream);
				this.results.add(new ReplicationResult(each.id, true));
			}
			else if (!each.decided && age >= MAJORITY_MILLIS) {
				each.decided = true;
				this.results.add(new ReplicationResult(each.id, false));
			}
			if (each.decided && (all || age >= REPEAT_MILLIS)) {
				iterator.remove();
			}
		}
		return safe;
	}

	List<ReplicationResult> takeResults() {
		List<ReplicationResult> taken = List.copyOf(this.results);
		this.results.clear();
		return taken;
	}

	/**
	 * The instances that matter for a replication.
	 *
	 * @param live the other instances heard of lately
	 * @param otherControl the names of the other control instances, lost ones included
	 * @param selfIsControl whether this instance is a control instance
	 */
	record Recipients(List<Recipient> live, Set<String> otherControl, boolean selfIsControl) {

		private boolean isControlMajority(Set<String> confirmed) {
			int own = this.selfIsControl ? 1 : 0;
			long holding = own + this.otherControl.stream().filter(confirmed::contains).count();
			return 2 * holding > own + this.otherControl.size();
		}

	}

	/**
	 * An instance that is to hold a record.
	 *
	 * @param name its name
	 * @param address its peer address
	 */
	record Recipient(String name, String address) {
	}

	private static final class Pending {

		private final long id;

		private final UpstreamRecord upstream;

		private final long startedMillis;

		private final Set<String> confirmed = new HashSet<>();

		private boolean decided;

		private Pending(long id, UpstreamRecord upstream, long startedMillis) {
			this.id = id;
			this.upstream = upstream;
			this.startedMillis = startedMillis;
		}

	}

}
