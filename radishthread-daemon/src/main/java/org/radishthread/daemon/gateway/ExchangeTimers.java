package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The timers of one request, which are cancelled together. Safe for use by several
 * threads.
 */
final class ExchangeTimers {

	private final ScheduledExecutorService scheduler;

	private final List<ScheduledFuture<?>> timers = new ArrayList<>();

	ExchangeTimers(ScheduledExecutorService scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Runs a task once after a delay, unless it is cancelled before.
	 * @param millis the delay, in milliseconds
	 * @param task the task
	 */
	void schedule(long millis, Runnable task) {
		ScheduledFuture<?> timer = this.scheduler.schedule(task, millis, TimeUnit.MILLISECONDS);
		synchronized (this) {
			// A request that waits for long has one timer after the other.
			this.timers.removeIf(Future::isDone);
			this.timers.add(timer);
		}
	}

	synchronized int size() {
		return this.timers.size();
	}

	synchronized void cancelAll() {
		this.timers.forEach((timer) -> timer.cancel(false));
		this.timers.clear();
	}

}
