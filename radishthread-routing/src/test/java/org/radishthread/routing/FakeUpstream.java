package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An upstream with slots and a queue of its own, in virtual time.
 */
final class FakeUpstream {

	private final VirtualTime time;

	final Upstream upstream;

	private final Deque<Work> waiting = new ArrayDeque<>();

	private final Set<Work> running = new HashSet<>();

	double slowness = 1;

	boolean failsFast;

	private long readyAtNanos;

	private int staleLoad;

	private long staleSinceNanos;

	FakeUpstream(VirtualTime time, Upstream upstream) {
		this.time = time;
		this.upstream = upstream;
	}

	// A cold start: everything takes long until the upstream has warmed up.
	void startCold(long nanos) {
		this.readyAtNanos = this.time.now() + nanos;
	}

	Work arrive(long serviceNanos, Consumer<Boolean> done) {
		Work work = new Work(serviceNanos, done);
		if (this.failsFast) {
			this.time.after(100_000, () -> done.accept(false));
			return work;
		}
		this.waiting.add(work);
		startNext();
		return work;
	}

	private void startNext() {
		while (this.running.size() < this.upstream.slots() && !this.waiting.isEmpty()) {
			Work work = this.waiting.remove();
			this.running.add(work);
			double factor = (this.time.now() < this.readyAtNanos) ? 10 * this.slowness : this.slowness;
			this.time.after((long) (work.serviceNanos * factor), () -> finish(work));
		}
	}

	private void finish(Work work) {
		if (this.running.remove(work)) {
			startNext();
			work.done.accept(true);
		}
	}

	void cancel(Work work) {
		if (this.waiting.remove(work) || this.running.remove(work)) {
			startNext();
		}
	}

	int load() {
		return this.waiting.size() + this.running.size();
	}

	// The load as an endpoint of the platform reports it: late, and
	// perhaps too low.
	int reportedLoad(long staleNanos, boolean lies) {
		if (this.time.now() - this.staleSinceNanos >= staleNanos) {
			this.staleLoad = load();
			this.staleSinceNanos = this.time.now();
		}
		return lies ? this.staleLoad / 3 : this.staleLoad;
	}

	static final class Work {

		private final long serviceNanos;

		private final Consumer<Boolean> done;

		private Work(long serviceNanos, Consumer<Boolean> done) {
			this.serviceNanos = serviceNanos;
			this.done = done;
		}

	}

}
