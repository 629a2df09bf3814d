package org.radishthread.daemon.gateway;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.UpstreamPool;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for decisions of one event, one of which cannot be carried out.
 */
class FailedDecisionTests {

	@TempDir
	private Path directory;

	private GatewayServices services;

	private final BlockingQueue<Long> decidedRequests = new LinkedBlockingQueue<>();

	@BeforeEach
	void start() throws Exception {
		this.services = new GatewayServices(this.directory);
	}

	@AfterEach
	void stop() {
		this.services.close();
	}

	// Guards against requests that are neither sent nor refused, because the decision on
	// another one could not be carried out.
	@Test
	void failureOfADispatchDoesNotLoseTheOthers() {
		LocalRequestRouter router = this.services.localRouter();
		this.services.announceUpstream(1);
		// The first ones are dispatched, the others wait for a slot.
		for (long id = 1; id <= 12; id++) {
			router.admit(this.services.newRequest(id, false), (id > 3 && id % 3 == 0) ? failing() : recording(id));
		}
		this.services.announceUpstream(12);
		assertThat(this.decidedRequests).containsExactlyInAnyOrder(1L, 2L, 3L, 4L, 5L, 7L, 8L, 10L, 11L);
	}

	// Guards against requests that wait until their deadline, because the decision on
	// another one whose home is silent too could not be carried out.
	@Test
	void failureOfARequestWithASilentHomeDoesNotLoseTheOthers() throws Exception {
		for (long number = 1; number <= 30; number++) {
			boolean fails = number % 3 == 0;
			this.services.slots()
				.admit(this.services.newRequest(number, false), UpstreamPool.whole(GatewayServices.SERVICE),
						GatewayServices.SILENT_HOME, fails ? failing() : recording(number));
		}
		Set<Long> decided = new HashSet<>();
		Long id = this.decidedRequests.poll(4, TimeUnit.SECONDS);
		while (id != null && decided.add(id) && decided.size() < 20) {
			id = this.decidedRequests.poll(4, TimeUnit.SECONDS);
		}
		assertThat(decided).hasSize(20);
	}

	private RoutingCallback recording(long id) {
		return new RoutingCallback() {

			@Override
			public void onDispatch(RoutingEffect.Dispatch dispatch) {
				FailedDecisionTests.this.decidedRequests.add(id);
			}

			@Override
			public void onRefusal(RoutingEffect.Refusal refusal) {
				FailedDecisionTests.this.decidedRequests.add(id);
			}

		};
	}

	private static RoutingCallback failing() {
		return new RoutingCallback() {

			@Override
			public void onDispatch(RoutingEffect.Dispatch dispatch) {
				throw new IllegalStateException("The dispatch fails.");
			}

			@Override
			public void onRefusal(RoutingEffect.Refusal refusal) {
				throw new IllegalStateException("The refusal fails.");
			}

		};
	}

}
