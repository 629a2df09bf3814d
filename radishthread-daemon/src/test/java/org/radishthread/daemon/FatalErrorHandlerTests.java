package org.radishthread.daemon;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FatalErrorHandler}.
 */
class FatalErrorHandlerTests {

	// Guards against a process that goes on without one of its threads.
	@Test
	void processEndsWhenAThreadEndsByAnException() throws InterruptedException {
		AtomicInteger exitCode = new AtomicInteger();
		Thread thread = new Thread(() -> {
			throw new IllegalStateException("simulated");
		}, "failing");
		thread.setUncaughtExceptionHandler(new FatalErrorHandler(1, exitCode::set));
		thread.start();
		thread.join();
		assertThat(exitCode.get()).isEqualTo(1);
	}

}
