package org.radishthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ExchangeTimers}.
 */
class ExchangeTimersTests {

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final ExchangeTimers timers = new ExchangeTimers(this.scheduler);

	@AfterEach
	void stop() {
		this.scheduler.shutdownNow();
	}

	private void runTimer() throws Exception {
		CompletableFuture<Void> run = new CompletableFuture<>();
		this.timers.schedule(1, () -> run.complete(null));
		run.get(5, TimeUnit.SECONDS);
	}

	// Guards against held requests whose memory grows with their time.
	@Test
	void timersThatHaveRunAreNotKept() throws Exception {
		for (int i = 0; i < 50; i++) {
			runTimer();
		}
		// The last one may not be done when its task has run.
		assertThat(this.timers.size()).isLessThanOrEqualTo(2);
	}

	@Test
	void timersThatHaveNotRunAreCancelled() throws Exception {
		CompletableFuture<Void> run = new CompletableFuture<>();
		this.timers.schedule(200, () -> run.complete(null));
		runTimer();
		this.timers.cancelAll();
		TimeUnit.MILLISECONDS.sleep(400);
		assertThat(run).isNotDone();
		assertThat(this.timers.size()).isZero();
	}

}
