package org.radishthread.kernel;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks one after another on a thread of its own, so that a state machine driven by
 * it needs no lock.
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
	 * Runs a task soon; after {@link #stop()} it is dropped.
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
	 * Runs a task once, later; after {@link #stop()} it is dropped.
	 * @param delayMillis how long to wait, in milliseconds
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
	 * Runs a task again and again.
	 * @param pauseMillis the pause between two runs, in milliseconds
	 * @param task the task
	 */
	public void scheduleWithFixedDelay(long pauseMillis, Runnable task) {
		this.executor.scheduleWithFixedDelay(() -> run(task), pauseMillis, pauseMillis, TimeUnit.MILLISECONDS);
	}

	private void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			eventLog.failure("task-failed", ex).with("loop", this.name).write();
		}
	}

	/**
	 * Stops after the tasks that are already waiting.
	 */
	public void stop() {
		this.executor.shutdown();
	}

}
