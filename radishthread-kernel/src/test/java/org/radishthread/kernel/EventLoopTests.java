package org.radishthread.kernel;

import java.lang.Thread.UncaughtExceptionHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EventLoop}.
 */
class EventLoopTests {

	private static final long TIMEOUT_SECONDS = 10;

	private final EventLoop loop = new EventLoop("tested");

	@AfterEach
	void stopLoop() {
		this.loop.stop();
	}

	@Nested
	class FailedTasks {

		// Guards against a periodic task that an error ends unnoticed while its process
		// goes on.
		@Test
		void errorOfPeriodicTaskReachesTheUncaughtExceptionHandler() throws Exception {
			CompletableFuture<Throwable> reported = new CompletableFuture<>();
			UncaughtExceptionHandler previousHandler = Thread.getDefaultUncaughtExceptionHandler();
			Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> reported.complete(failure));
			try {
				EventLoopTests.this.loop.scheduleWithFixedDelay(1, () -> {
					throw new StackOverflowError("simulated");
				});
				assertThat(reported.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(StackOverflowError.class);
			}
			finally {
				Thread.setDefaultUncaughtExceptionHandler(previousHandler);
			}
		}

		@Test
		void loopGoesOnAfterAnException() throws Exception {
			CompletableFuture<String> result = new CompletableFuture<>();
			EventLoopTests.this.loop.execute(() -> {
				throw new IllegalStateException("simulated");
			});
			EventLoopTests.this.loop.execute(() -> result.complete("done"));
			assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("done");
		}

	}

}
