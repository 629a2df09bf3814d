package org.radishthread.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.radishthread.protocol.UpstreamRecord;
import org.radishthread.protocol.UpstreamState;

/**
 * Tracks which changes of upstream records this instance has stored on disk, and holds
 * back messages that confirm a change which is not stored yet. Changes are numbered;
 * storing one stores all before it. Not thread-safe.
 */
final class UpstreamDurability {

	private boolean storeInUse;

	private long lastChange;

	private long storedChange;

	private final Deque<HeldMessage> heldMessages = new ArrayDeque<>();

	/**
	 * States that this instance stores its records on disk, and tells by
	 * {@link #recordStored} when. Without a store every change counts as stored.
	 */
	void useStore() {
		this.storeInUse = true;
	}

	boolean isStoreInUse() {
		return this.storeInUse;
	}

	void recordChange() {
		this.lastChange++;
	}

	long lastChange() {
		return this.lastChange;
	}

	/**
	 * Returns the change that must be stored before a record may be confirmed. That an
	 * upstream accepts requests is announced again after a restart; that it does not is
	 * announced only once.
	 * @param record the record, with which this instance's was merged
	 * @return the number of the change, or zero if none must be stored
	 */
	long requiredChange(UpstreamRecord record) {
		return (record.getState() == UpstreamState.READY) ? 0 : this.lastChange;
	}

	boolean isStored(long change) {
		return !this.storeInUse || this.storedChange >= change;
	}

	void hold(long change, OutgoingMessage message) {
		this.heldMessages.add(new HeldMessage(change, message));
	}

	/**
	 * Records that a change and all before it are stored.
	 * @param change the number of the change
	 * @return the messages that were held back until now
	 */
	List<OutgoingMessage> recordStored(long change) {
		this.storedChange = Math.max(this.storedChange, change);
		List<OutgoingMessage> releasedMessages = new ArrayList<>();
		while (!this.heldMessages.isEmpty() && isStored(this.heldMessages.peek().change())) {
			releasedMessages.add(this.heldMessages.remove().message());
		}
		return releasedMessages;
	}

	private record HeldMessage(long change, OutgoingMessage message) {
	}

}
