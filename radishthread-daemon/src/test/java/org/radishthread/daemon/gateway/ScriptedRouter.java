package org.radishthread.daemon.gateway;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.LoadReport;
import org.radishthread.routing.RoutingRequest;

/**
 * A router that records what it is told. The test makes its decisions, at any time or
 * within the report of a completed attempt.
 */
final class ScriptedRouter implements RequestRouter {

	private static final long WAIT_SECONDS = 10;

	private final CompletableFuture<RoutingCallback> admitted = new CompletableFuture<>();

	private final List<String> completions = new CopyOnWriteArrayList<>();

	private final BlockingQueue<Long> retries = new LinkedBlockingQueue<>();

	private final AtomicReference<@Nullable Runnable> completionTask = new AtomicReference<>();

	private final CompletableFuture<Void> closed = new CompletableFuture<>();

	/**
	 * Waits for the request.
	 * @return the receiver of the decisions about it
	 * @throws Exception if it is not admitted in time
	 */
	RoutingCallback awaitAdmission() throws Exception {
		return this.admitted.get(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Waits until another attempt is requested.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitRetry() throws InterruptedException {
		if (this.retries.poll(WAIT_SECONDS, TimeUnit.SECONDS) == null) {
			throw new IllegalStateException("No retry was requested.");
		}
	}

	/**
	 * Waits until the request is closed.
	 * @throws Exception if it is not closed in time
	 */
	void awaitClose() throws Exception {
		this.closed.get(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Runs a task within the report of the next completed attempt, on its thread.
	 * @param task the task
	 */
	void onNextCompletion(Runnable task) {
		this.completionTask.set(task);
	}

	// The completed attempts, each as the name of its upstream and its result.
	List<String> completions() {
		return this.completions;
	}

	@Override
	public void admit(RoutingRequest request, RoutingCallback callback) {
		this.admitted.complete(callback);
	}

	@Override
	public void completeAttempt(long requestId, String upstream, AttemptResult result,
			@Nullable LoadReport loadReport) {
		this.completions.add(upstream + ' ' + result);
		Runnable task = this.completionTask.getAndSet(null);
		if (task != null) {
			task.run();
		}
	}

	@Override
	public void retry(long requestId) {
		this.retries.add(requestId);
	}

	@Override
	public void hedge(long requestId) {
		// The test dispatches hedges by itself.
	}

	@Override
	public void close(long requestId) {
		this.closed.complete(null);
	}

}
