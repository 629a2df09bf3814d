package org.radishthread.daemon.gateway;

import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.radishthread.routing.AttemptResult;
import org.radishthread.routing.RoutingEffect;
import org.radishthread.routing.UpstreamPool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests for completions that are reported after their requests were closed by another
 * thread, or twice.
 */
class LateCompletionTests {

	private static final String UPSTREAM = "upstream-1";

	@TempDir
	private Path directory;

	private GatewayServices services;

	private final BlockingQueue<Integer> attemptsInFlight = new LinkedBlockingQueue<>();

	@BeforeEach
	void start() throws Exception {
		this.services = new GatewayServices(this.directory);
	}

	@AfterEach
	void stop() {
		this.services.close();
	}

	// Guards against a failure that ends the connection to the home: the request was
	// closed while its dispatch was carried out, and its home no longer counts it.
	@Test
	void completionOfARequestThatIsClosedAtItsHomeDoesNothing() {
		HomeRequestRouter router = new HomeRequestRouter(GatewayServices.SERVICE, this.services.slots());
		this.services.slots()
			.admit(this.services.newRequest(1, false), UpstreamPool.whole(GatewayServices.SERVICE),
					GatewayServices.SILENT_HOME, recording());
		router.close(1);
		assertThatCode(() -> router.completeAttempt(1, UPSTREAM, AttemptResult.CANCELLED, null))
			.doesNotThrowAnyException();
	}

	// Guards against a slot that is freed twice.
	@Test
	void secondCompletionOfAnAttemptDoesNothing() {
		this.services.announceUpstream(1);
		LocalRequestRouter router = this.services.localRouter();
		router.admit(this.services.newRequest(1, false), recording());
		router.completeAttempt(1, UPSTREAM, AttemptResult.CANCELLED, null);
		assertThatCode(() -> router.completeAttempt(1, UPSTREAM, AttemptResult.CANCELLED, null))
			.doesNotThrowAnyException();
		router.admit(this.services.newRequest(2, false), recording());
		assertThat(this.attemptsInFlight).containsExactly(1, 1);
	}

	private RoutingCallback recording() {
		return new RoutingCallback() {

			@Override
			public void onDispatch(RoutingEffect.Dispatch dispatch) {
				LateCompletionTests.this.attemptsInFlight.add(dispatch.inFlight());
			}

			@Override
			public void onRefusal(RoutingEffect.Refusal refusal) {
				// A refused request has no attempt.
			}

		};
	}

}
