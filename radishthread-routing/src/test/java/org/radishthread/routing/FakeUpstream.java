package org.radishthread.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Simulates an upstream with slots and its own queue in virtual time.
 */
final class FakeUpstream {

	private final VirtualTime time;

	final Upstream descriptor;

	private final Deque<Task> queuedTasks = new ArrayDeque<>();

	private final Set<Task> runningTasks = new HashSet<>();

	double slowdownFactor = 1;

	boolean failsFast;

	private long warmAtNanos;

	private int lastReportedLoad;

	private long lastReportNanos;

	FakeUpstream(VirtualTime time, Upstream descriptor) {
		this.time = time;
		this.descriptor = descriptor;
	}

	// Simulates a cold start: requests take ten times longer until the
	// upstream is warm.
	void startCold(long durationNanos) {
		this.warmAtNanos = this.time.nowNanos() + durationNanos;
	}

	Task submit(long serviceNanos, Consumer<Boolean> onCompletion) {
		Task task = new Task(serviceNanos, onCompletion);
		if (this.failsFast) {
			this.time.schedule(100_000, () -> onCompletion.accept(false));
			return task;
		}
		this.queuedTasks.add(task);
		startQueuedTasks();
		return task;
	}

	private void startQueuedTasks() {
		while (this.runningTasks.size() < this.descriptor.slots() && !this.queuedTasks.isEmpty()) {
			Task task = this.queuedTasks.remove();
			this.runningTasks.add(task);
			double factor = (this.time.nowNanos() < this.warmAtNanos) ? 10 * this.slowdownFactor : this.slowdownFactor;
			this.time.schedule((long) (task.serviceNanos * factor), () -> complete(task));
		}
	}

	private void complete(Task task) {
		if (this.runningTasks.remove(task)) {
			startQueuedTasks();
			task.onCompletion.accept(true);
		}
	}

	void cancel(Task task) {
		if (this.queuedTasks.remove(task) || this.runningTasks.remove(task)) {
			startQueuedTasks();
		}
	}

	int taskCount() {
		return this.queuedTasks.size() + this.runningTasks.size();
	}

	// Reports the load as upstreams of a platform do: with a delay and
	// possibly too low.
	int reportLoad(long maximumReportAgeNanos, boolean underreports) {
		if (this.time.nowNanos() - this.lastReportNanos >= maximumReportAgeNanos) {
			this.lastReportedLoad = taskCount();
			this.lastReportNanos = this.time.nowNanos();
		}
		return underreports ? this.lastReportedLoad / 3 : this.lastReportedLoad;
	}

	static final class Task {

		private final long serviceNanos;

		private final Consumer<Boolean> onCompletion;

		private Task(long serviceNanos, Consumer<Boolean> onCompletion) {
			this.serviceNanos = serviceNanos;
			this.onCompletion = onCompletion;
		}

	}

}
