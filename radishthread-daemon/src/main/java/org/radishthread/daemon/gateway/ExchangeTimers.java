package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
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
			this.timers.add(timer);
		}
	}

	synchronized void cancelAll() {
		this.timers.forEach((timer) -> timer.cancel(false));
		this.timers.clear();
	}

}
