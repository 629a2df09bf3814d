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
 * Replicates changed upstream records to the other live instances. A replication succeeds
 * when a majority of control instances stores the record and every live instance stores
 * it or had {@link #LIVE_CONFIRMATION_TIMEOUT_MILLIS} to confirm it. The record then
 * survives the immediate loss of the instance that replicated it, because the instances
 * that store it propagate it by gossip. A record that an upstream accepts no requests
 * also survives a restart of all instances, because they confirm it only once it is on
 * disk.
 * <p>
 * The majority for a record that an upstream accepts no requests is one of the control
 * group. An instance that does not know the group, or has not heard of a majority of it
 * lately, fails the replication at once, so that the upstream has time to ask another
 * instance. An upstream that accepts requests announces itself again in any case.
 */
final class AnnouncementReplication {

	/**
	 * The time that live instances have to confirm a record before a majority of control
	 * instances suffices, in milliseconds. It is well below the 1,000 ms that upstreams
	 * wait for a response.
	 */
	static final long LIVE_CONFIRMATION_TIMEOUT_MILLIS = 400;

	/**
	 * The time after which a replication without a majority fails, in milliseconds. The
	 * failure is sent with the next tick of the caller, 200 ms later at most, which is
	 * still within the time that upstreams wait for a response.
	 */
	static final long MAJORITY_TIMEOUT_MILLIS = 700;

	/**
	 * The time from the start of a replication during which instances that have not
	 * confirmed the record are sent it again, in milliseconds.
	 */
	static final long RESEND_PERIOD_MILLIS = 8_000;

	/**
	 * The time after which a record is sent again to instances that have not confirmed
	 * it, in milliseconds.
	 */
	static final long RESEND_INTERVAL_MILLIS = 200;

	private final Map<Long, Replication> replications = new LinkedHashMap<>();

	private final List<ReplicationResult> results = new ArrayList<>();

	private final UpstreamDurability durability;

	private long lastId;

	AnnouncementReplication(UpstreamDurability durability) {
		this.durability = durability;
	}

	// Returns the id of the replication, which is an existing one if a replication of the
	// same record is not yet completed. A departure is confirmed by the control group
	// only.
	long start(UpstreamRecord upstream, boolean departure, long nowMillis) {
		for (Replication replication : this.replications.values()) {
			if (!replication.completed && replication.upstream.equals(upstream)) {
				replication.departure |= departure;
				return replication.id;
			}
		}
		this.lastId++;
		this.replications.put(this.lastId,
				new Replication(this.lastId, upstream, departure, this.durability.requiredChange(upstream), nowMillis));
		return this.lastId;
	}

	void recordConfirmation(long id, String instanceName) {
		Replication replication = this.replications.get(id);
		if (replication != null) {
			replication.confirmedNames.add(instanceName);
		}
	}

	// Returns one message for each record that is due and each recipient that has not yet
	// confirmed that record.
	List<OutgoingMessage> createMessages(Recipients recipients, long nowMillis) {
		List<OutgoingMessage> messages = new ArrayList<>();
		for (Replication replication : this.replications.values()) {
			if (nowMillis < replication.nextSendMillis) {
				continue;
			}
			replication.nextSendMillis = nowMillis + RESEND_INTERVAL_MILLIS;
			Envelope envelope = Envelope.newBuilder()
				.setUpstreamNotice(UpstreamNotice.newBuilder().setId(replication.id).setUpstream(replication.upstream))
				.build();
			recipients.instances()
				.stream()
				.filter((recipient) -> !replication.confirmedNames.contains(recipient.name()))
				.forEach((recipient) -> messages.add(new OutgoingMessage(recipient.address(), envelope)));
		}
		return messages;
	}

	// Fails the replications for which a majority cannot be reached.
	void failUnreachable(Recipients recipients) {
		for (Replication replication : this.replications.values()) {
			if (!replication.completed && replication.departure
					&& !recipients.canReachMajority(replication.confirmedNames)) {
				complete(replication, false, recipients);
			}
		}
	}

	// Completes the replications that succeeded, timed out or cannot succeed, and returns
	// the records that a majority of the control group stores.
	List<UpstreamRecord> completeReplications(Recipients recipients, long nowMillis) {
		List<UpstreamRecord> replicatedRecords = new ArrayList<>();
		Iterator<Replication> iterator = this.replications.values().iterator();
		while (iterator.hasNext()) {
			Replication replication = iterator.next();
			long ageMillis = nowMillis - replication.startMillis;
			boolean allConfirmed = recipients.instances()
				.stream()
				.allMatch((recipient) -> !recipient.awaited() || replication.confirmedNames.contains(recipient.name()));
			if (!replication.completed && isStoredByMajority(replication, recipients)
					&& (allConfirmed || ageMillis >= LIVE_CONFIRMATION_TIMEOUT_MILLIS)) {
				if (recipients.quorum().agreed()) {
					replicatedRecords.add(replication.upstream);
				}
				complete(replication, true, recipients);
			}
			else if (!replication.completed && ageMillis >= MAJORITY_TIMEOUT_MILLIS) {
				complete(replication, false, recipients);
			}
			if (replication.completed && (allConfirmed || ageMillis >= RESEND_PERIOD_MILLIS)) {
				iterator.remove();
			}
		}
		failUnreachable(recipients);
		return replicatedRecords;
	}

	private boolean isStoredByMajority(Replication replication, Recipients recipients) {
		ControlQuorum quorum = recipients.quorum();
		return (quorum.agreed() || !replication.departure) && quorum.isMajority(countStored(replication, recipients));
	}

	private int countStored(Replication replication, Recipients recipients) {
		Set<String> storedNames = new HashSet<>(replication.confirmedNames);
		if (this.durability.isStored(replication.requiredChange)) {
			storedNames.add(recipients.selfName());
		}
		return recipients.quorum().countMembers(storedNames);
	}

	private void complete(Replication replication, boolean successful, Recipients recipients) {
		replication.completed = true;
		this.results.add(new ReplicationResult(replication.id, successful, countStored(replication, recipients),
				recipients.quorum().size()));
	}

	List<ReplicationResult> drainResults() {
		List<ReplicationResult> drainedResults = List.copyOf(this.results);
		this.results.clear();
		return drainedResults;
	}

	/**
	 * The instances that a record is replicated to.
	 *
	 * @param instances the other live instances
	 * @param quorum the control instances of which a majority must store the record
	 * @param selfName the name of this instance
	 */
	record Recipients(List<Recipient> instances, ControlQuorum quorum, String selfName) {

		private boolean canReachMajority(Set<String> confirmedNames) {
			Set<String> reachableNames = new HashSet<>(confirmedNames);
			this.instances.forEach((recipient) -> reachableNames.add(recipient.name()));
			reachableNames.add(this.selfName);
			return this.quorum.agreed() && this.quorum.isMajority(this.quorum.countMembers(reachableNames));
		}

	}

	/**
	 * An instance that a record is replicated to.
	 *
	 * @param name the name of the instance
	 * @param address the peer address of the instance
	 * @param awaited whether a replication waits for its confirmation; one that is
	 * leaving may end at any time
	 */
	record Recipient(String name, String address, boolean awaited) {
	}

	private static final class Replication {

		private final long id;

		private final UpstreamRecord upstream;

		private final long requiredChange;

		private final long startMillis;

		private final Set<String> confirmedNames = new HashSet<>();

		// Whether an incarnation of the upstream accepts no requests from now on.
		private boolean departure;

		private long nextSendMillis;

		private boolean completed;

		private Replication(long id, UpstreamRecord upstream, boolean departure, long requiredChange,
				long startMillis) {
			this.id = id;
			this.upstream = upstream;
			this.departure = departure;
			this.requiredChange = requiredChange;
			this.startMillis = startMillis;
			this.nextSendMillis = startMillis;
		}

	}

}
