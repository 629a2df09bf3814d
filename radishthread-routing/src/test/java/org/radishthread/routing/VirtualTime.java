package org.radishthread.routing;

import java.util.PriorityQueue;

/**
 * Runs scheduled actions in the order of their virtual time, and actions with the same
 * time in the order in which they were scheduled.
 */
final class VirtualTime {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos;

	private long lastSequenceNumber;

	long nowNanos() {
		return this.nowNanos;
	}

	void schedule(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + Math.max(0, delayNanos), ++this.lastSequenceNumber, action));
	}

	void runUntil(long endNanos) {
		while (!this.events.isEmpty() && this.events.peek().timeNanos() <= endNanos) {
			Event event = this.events.remove();
			this.nowNanos = event.timeNanos();
			event.action().run();
		}
	}

	private record Event(long timeNanos, long sequenceNumber, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.timeNanos, other.timeNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequenceNumber, other.sequenceNumber);
		}

	}

}
