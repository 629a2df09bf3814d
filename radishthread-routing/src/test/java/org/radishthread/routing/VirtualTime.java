package org.radishthread.routing;

import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual time.
 */
final class VirtualTime {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowNanos;

	private long lastSequence;

	long now() {
		return this.nowNanos;
	}

	void after(long nanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + Math.max(0, nanos), ++this.lastSequence, action));
	}

	void runUntil(long endNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= endNanos) {
			Event event = this.events.remove();
			this.nowNanos = event.atNanos();
			event.action().run();
		}
	}

	private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
