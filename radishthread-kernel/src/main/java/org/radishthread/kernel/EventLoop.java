package org.radishthread.kernel;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks one after another on a dedicated thread, so that an object that is used only
 * by these tasks needs no lock. An exception thrown by a task is logged, and the loop
 * goes on; an {@link Error} is passed to the uncaught exception handler of the thread.
 * Tasks can be submitted by any thread.
 */
public final class EventLoop {

	private static final EventLog eventLog = EventLog.of(EventLoop.class);

	private final String name;

	private final ScheduledExecutorService executor;

	public EventLoop(String name) {
		this.name = name;
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Queues a task. After {@link #stop()} it is dropped.
	 * @param task the task
	 */
	public void execute(Runnable task) {
		try {
			this.executor.execute(() -> run(task));
		}
		catch (RejectedExecutionException ex) {
			eventLog.debug("task-dropped").with("loop", this.name).write();
		}
	}

	/**
	 * Runs a task once after a delay. After {@link #stop()} it is dropped.
	 * @param delayMillis the delay, in milliseconds
	 * @param task the task
	 */
	public void schedule(long delayMillis, Runnable task) {
		try {
			this.executor.schedule(() -> run(task), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			eventLog.debug("task-dropped").with("loop", this.name).write();
		}
	}

	/**
	 * Runs a task periodically, for the first time after the delay.
	 * @param delayMillis the delay between the end of a run and the start of the next, in
	 * milliseconds
	 * @param task the task
	 */
	public void scheduleWithFixedDelay(long delayMillis, Runnable task) {
		this.executor.scheduleWithFixedDelay(() -> run(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			eventLog.failure("task-failed", ex).with("loop", this.name).write();
		}
		catch (Error ex) {
			// The executor would keep it to itself, and cancel a periodic task.
			Thread thread = Thread.currentThread();
			thread.getUncaughtExceptionHandler().uncaughtException(thread, ex);
			throw ex;
		}
	}

	/**
	 * Stops the thread after the tasks that are already queued, delayed ones among them,
	 * but cancels periodic tasks. Returns without waiting.
	 */
	public void stop() {
		this.executor.shutdown();
	}

}
