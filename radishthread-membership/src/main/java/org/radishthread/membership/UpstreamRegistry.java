package org.radishthread.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.radishthread.kernel.Assert;
import org.radishthread.protocol.Envelope;
import org.radishthread.protocol.LeaseRenewal;
import org.radishthread.protocol.UpstreamNotice;
import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;
import org.radishthread.protocol.Version;

/**
 * Applies the announcements of upstreams: orders them, renews leases, and replicates
 * changes to other instances. Not thread-safe; callers pass the monotonic time and
 * collect messages and results.
 */
final class UpstreamRegistry {

	// Exceeds the number of announcements that can still arrive after a withdrawal.
	private static final long WITHDRAWAL_SEQUENCE_INCREMENT = 1_000_000;

	private final String selfName;

	private final UpstreamTable table;

	private final UpstreamDurability durability = new UpstreamDurability();

	private final AnnouncementReplication replication = new AnnouncementReplication(this.durability);

	private final List<OutgoingMessage> outgoingMessages = new ArrayList<>();

	private final List<UpstreamChange> changes = new ArrayList<>();

	UpstreamRegistry(String selfName) {
		this.selfName = selfName;
		this.table = new UpstreamTable(selfName);
	}

	AnnouncementOutcome announce(Announcement announcement, HolderDirectory holders,
			AnnouncementReplication.Recipients recipients, long nowMillis) {
		UpstreamRecord record = toRecord(announcement);
		UpstreamTable.Entry storedEntry = this.table.find(announcement.name());
		if (storedEntry != null && isRenewal(record, storedEntry, nowMillis)
				&& storedEntry.upstream.getState() == UpstreamState.READY) {
			boolean accepted = renewLease(storedEntry.upstream, record, holders, nowMillis);
			return accepted ? AnnouncementOutcome.confirmed() : AnnouncementOutcome.stale();
		}
		return applyChange(record, recipients, nowMillis);
	}

	// Empty if there is no record of the upstream.
	Optional<AnnouncementOutcome> withdraw(String name, long incarnation, AnnouncementReplication.Recipients recipients,
			long nowMillis) {
		UpstreamTable.Entry storedEntry = this.table.find(name);
		if (storedEntry == null) {
			return Optional.empty();
		}
		boolean startedAgain = incarnation != 0 && incarnation < storedEntry.upstream.getIncarnation();
		if (startedAgain || storedEntry.withdrawn) {
			return Optional.of(replicate(storedEntry, true, recipients, nowMillis));
		}
		// A late announcement of this incarnation must not undo the withdrawal. If its
		// lease has expired here, others may still know it as ready by the same version.
		UpstreamRecord withdrawnRecord = storedEntry.upstream.toBuilder()
			.setIncarnation(Math.max(incarnation, storedEntry.upstream.getIncarnation()))
			.setSequence(storedEntry.upstream.getSequence() + WITHDRAWAL_SEQUENCE_INCREMENT)
			.setState(UpstreamState.LEFT)
			.build();
		AnnouncementOutcome outcome = applyChange(withdrawnRecord, recipients, nowMillis);
		storedEntry.withdrawn = true;
		return Optional.of(outcome);
	}

	// Merges a record and starts its replication, unless it was replicated before.
	private AnnouncementOutcome applyChange(UpstreamRecord record, AnnouncementReplication.Recipients recipients,
			long nowMillis) {
		boolean newer = merge(record, nowMillis);
		UpstreamTable.Entry storedEntry = this.table.find(record.getName());
		Assert.state(storedEntry != null, "A merged upstream record must be in the table.");
		boolean sameVersion = storedEntry.upstream.getIncarnation() == record.getIncarnation()
				&& storedEntry.upstream.getSequence() == record.getSequence();
		if (!newer && !sameVersion) {
			return AnnouncementOutcome.stale();
		}
		return replicate(storedEntry, record.getState() != UpstreamState.READY, recipients, nowMillis);
	}

	// A record by which an earlier incarnation has left is a departure too.
	private AnnouncementOutcome replicate(UpstreamTable.Entry storedEntry, boolean departure,
			AnnouncementReplication.Recipients recipients, long nowMillis) {
		if (storedEntry.replicated) {
			return AnnouncementOutcome.confirmed();
		}
		long replicationId = this.replication.start(storedEntry.upstream, departure, nowMillis);
		this.outgoingMessages.addAll(this.replication.createMessages(recipients, nowMillis));
		this.replication.failUnreachable(recipients);
		return new AnnouncementOutcome(true, replicationId);
	}

	private static boolean isRenewal(UpstreamRecord record, UpstreamTable.Entry storedEntry, long nowMillis) {
		UpstreamRecord storedRecord = storedEntry.upstream;
		return storedRecord.toBuilder()
			.setSequence(record.getSequence())
			.setHolder(record.getHolder())
			.setColdMillis(record.getColdMillis())
			.build()
			.equals(record) && storedRecord.getState() != UpstreamState.LEFT
				&& isColdnessKnown(record, storedEntry, nowMillis);
	}

	// A cold upstream announces less and less time. Only the beginning, an extension and
	// the end of its coldness are changes.
	private static boolean isColdnessKnown(UpstreamRecord record, UpstreamTable.Entry storedEntry, long nowMillis) {
		boolean cold = record.getColdMillis() > 0;
		return cold == storedEntry.upstream.getColdMillis() > 0
				&& (!cold || nowMillis + record.getColdMillis() <= storedEntry.coldUntilMillis);
	}

	// Renews a lease held by this instance, forwards the renewal to the live holder, or
	// takes over the lease of a lost holder. Returns whether the renewal is newer than
	// the stored announcement.
	private boolean renewLease(UpstreamRecord storedRecord, UpstreamRecord record, HolderDirectory holders,
			long nowMillis) {
		if (storedRecord.getHolder().equals(this.selfName)) {
			return this.table.renew(record.getName(), record.getIncarnation(), record.getSequence(), nowMillis);
		}
		String holderAddress = holders.findLiveAddress(storedRecord.getHolder());
		if (holderAddress == null) {
			return merge(record, nowMillis);
		}
		LeaseRenewal renewal = LeaseRenewal.newBuilder()
			.setName(record.getName())
			.setIncarnation(record.getIncarnation())
			.setSequence(record.getSequence())
			.build();
		this.outgoingMessages
			.add(new OutgoingMessage(holderAddress, Envelope.newBuilder().setLeaseRenewal(renewal).build()));
		return record.getSequence() > storedRecord.getSequence();
	}

	private UpstreamRecord toRecord(Announcement announcement) {
		return UpstreamRecord.newBuilder()
			.setName(announcement.name())
			.setService(announcement.service())
			.setAddress(announcement.address())
			.setZone(announcement.zone())
			.setSlots(announcement.slots())
			.setIncarnation(announcement.incarnation())
			.setSequence(announcement.sequence())
			.setState(announcement.state())
			.setHolder(this.selfName)
			.setLeaseMillis(announcement.leaseMillis())
			.setColdMillis(announcement.coldMillis())
			.build();
	}

	// Returns whether the record is newer than the stored one.
	boolean merge(UpstreamRecord receivedRecord, long nowMillis) {
		UpstreamTable.Entry storedEntry = this.table.find(receivedRecord.getName());
		UpstreamRecord formerRecord = (storedEntry != null) ? storedEntry.upstream : null;
		boolean newer = this.table.merge(receivedRecord, nowMillis);
		if (newer) {
			addChange(UpstreamChange.of(formerRecord, receivedRecord));
		}
		return newer;
	}

	private void addChange(UpstreamChange change) {
		this.changes.add(change);
		this.durability.recordChange();
	}

	// Merges a record that another instance replicates. The confirmation is sent once
	// the record is stored. If the upstream has left since, the later record is sent
	// instead.
	void mergeReplicated(UpstreamRecord receivedRecord, OutgoingMessage confirmation, long nowMillis) {
		merge(receivedRecord, nowMillis);
		UpstreamTable.Entry storedEntry = this.table.find(receivedRecord.getName());
		if (storedEntry != null && hasLeftSince(receivedRecord, storedEntry)) {
			UpstreamNotice notice = UpstreamNotice.newBuilder().setUpstream(storedEntry.upstream).build();
			this.outgoingMessages.add(new OutgoingMessage(confirmation.address(),
					Envelope.newBuilder().setUpstreamNotice(notice).build()));
			return;
		}
		long requiredChange = this.durability.requiredChange(receivedRecord);
		if (this.durability.isStored(requiredChange)) {
			this.outgoingMessages.add(confirmation);
		}
		else {
			this.durability.hold(requiredChange, confirmation);
		}
	}

	// That an upstream is only assumed to have left does not count: others may know
	// better.
	private static boolean hasLeftSince(UpstreamRecord record, UpstreamTable.Entry storedEntry) {
		return record.getState() == UpstreamState.READY && storedEntry.upstream.getState() != UpstreamState.READY
				&& !storedEntry.assumedLeft && UpstreamTable.isNewer(storedEntry.upstream, record);
	}

	void useStore() {
		this.durability.useStore();
	}

	// Replications of this instance complete with the next call of replicate, by which
	// time the change is on its way to the gateways.
	void recordStored(long change) {
		this.outgoingMessages.addAll(this.durability.recordStored(change));
	}

	// What this instance must store, or null if it has no store.
	@Nullable UpstreamSnapshot snapshot() {
		if (!this.durability.isStoreInUse()) {
			return null;
		}
		return new UpstreamSnapshot(this.durability.lastChange(),
				this.table.entries().stream().map((entry) -> entry.upstream).toList());
	}

	void renew(LeaseRenewal renewal, long nowMillis) {
		this.table.renew(renewal.getName(), renewal.getIncarnation(), renewal.getSequence(), nowMillis);
	}

	void renewAll(long nowMillis) {
		this.table.renewAll(nowMillis);
	}

	// Returns whether any lease expired.
	boolean expireLeases(long nowMillis, Predicate<String> holderLive) {
		List<UpstreamRecord> expiredRecords = this.table.expireLeases(nowMillis, holderLive);
		expiredRecords.forEach((expiredRecord) -> addChange(new UpstreamChange(expiredRecord, false)));
		return !expiredRecords.isEmpty();
	}

	void replicate(AnnouncementReplication.Recipients recipients, long nowMillis) {
		completeReplications(recipients, nowMillis);
		this.outgoingMessages.addAll(this.replication.createMessages(recipients, nowMillis));
	}

	void recordConfirmation(long replicationId, String instanceName, AnnouncementReplication.Recipients recipients,
			long nowMillis) {
		this.replication.recordConfirmation(replicationId, instanceName);
		completeReplications(recipients, nowMillis);
	}

	private void completeReplications(AnnouncementReplication.Recipients recipients, long nowMillis) {
		this.replication.completeReplications(recipients, nowMillis).forEach(this.table::markReplicated);
	}

	// The announced upstreams, those that left included. One that is only assumed to have
	// left is not included: others may know better.
	List<UpstreamRecord> announcedUpstreams() {
		return this.table.entries()
			.stream()
			.filter((entry) -> !entry.assumedLeft)
			.map((entry) -> entry.upstream)
			.toList();
	}

	// The upstreams that have not left.
	List<UpstreamRecord> activeUpstreams() {
		return this.table.entries()
			.stream()
			.map((entry) -> entry.upstream)
			.filter((upstream) -> upstream.getState() != UpstreamState.LEFT)
			.toList();
	}

	long digest() {
		return UpstreamVersions.digest(this.table.entries());
	}

	// The digest without what only the holders of leases need.
	long stateDigest() {
		return UpstreamVersions.stateDigest(this.table.entries());
	}

	List<Version> versions() {
		return UpstreamVersions.toVersions(this.table.entries());
	}

	List<UpstreamRecord> findMissing(List<Version> versions) {
		return UpstreamVersions.findMissing(this.table.entries(), versions);
	}

	List<UpstreamChange> drainChanges() {
		List<UpstreamChange> drainedChanges = List.copyOf(this.changes);
		this.changes.clear();
		return drainedChanges;
	}

	List<OutgoingMessage> drainMessages() {
		List<OutgoingMessage> drainedMessages = List.copyOf(this.outgoingMessages);
		this.outgoingMessages.clear();
		return drainedMessages;
	}

	List<ReplicationResult> drainResults() {
		return this.replication.drainResults();
	}

	/**
	 * Finds the instances that hold leases.
	 */
	@FunctionalInterface
	interface HolderDirectory {

		/**
		 * Finds the peer address of a holder.
		 * @param name the name of the instance
		 * @return the address, or {@code null} if the instance is not live
		 */
		@Nullable String findLiveAddress(String name);

	}

}
