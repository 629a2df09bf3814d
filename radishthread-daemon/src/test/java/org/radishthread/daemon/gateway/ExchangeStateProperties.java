package org.radishthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;

import org.radishthread.daemon.gateway.ExchangeState.AttemptEnd;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link ExchangeState} under events on several threads.
 */
class ExchangeStateProperties {

	private static final int THREADS = 3;

	private static final ExecutorService executor = Executors.newFixedThreadPool(THREADS);

	@AfterContainer
	static void stop() {
		executor.shutdownNow();
	}

	// Guards against requests that ran after their callers had been told that they never
	// would: an attempt that is begun and a refusal cross in any order.
	@Property(tries = 500)
	void requestOfUnknownFateIsNeverRefusedAsNotRun(@ForAll boolean mayRepeat, @ForAll boolean firstMayHaveRun,
			@ForAll boolean waitForAttempts) throws Exception {
		ExchangeState<String> state = new ExchangeState<>(mayRepeat);
		assertThat(state.tryBegin("first")).isTrue();
		CyclicBarrier barrier = new CyclicBarrier(THREADS);
		List<Future<Object>> results = new ArrayList<>();
		results.add(start(barrier, () -> state.endWithFailure("first", firstMayHaveRun)));
		results.add(start(barrier, () -> state.tryBegin("second")));
		results.add(start(barrier, () -> waitForAttempts ? state.tryCompleteIdle() : state.tryComplete()));
		Object firstEnd = results.get(0).get();
		boolean secondBegun = (boolean) results.get(1).get();
		Object outcome = results.get(2).get();
		if (outcome == RequestOutcome.NOT_RUN) {
			assertThat(secondBegun).isFalse();
			assertThat(firstMayHaveRun).isFalse();
			assertThat(state.tryBegin("third")).isFalse();
		}
		if (secondBegun && !mayRepeat) {
			assertThat(firstMayHaveRun).isFalse();
			assertThat(firstEnd).isNotEqualTo(AttemptEnd.OTHERS_IN_PROGRESS);
		}
	}

	private static Future<Object> start(CyclicBarrier barrier, Callable<Object> event) {
		return executor.submit(() -> {
			barrier.await();
			return event.call();
		});
	}

}
