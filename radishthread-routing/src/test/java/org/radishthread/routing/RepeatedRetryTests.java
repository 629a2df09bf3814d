package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests for {@link ServiceRouter}: a retry that is requested again while the earlier one
 * waits, because a hedge was granted meanwhile and failed too.
 */
class RepeatedRetryTests {

	private static final int REQUEST_COUNT = 11;

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("service", 100, Duration.ofSeconds(1), 50, 0, 10, 5), "zone-0", 1, 0);

	private final List<RoutingEffect.Dispatch> dispatches = new ArrayList<>();

	@BeforeEach
	void requestRetryTwiceWhileAllSlotsAreUsed() {
		this.router.updateUpstreams(List.of(new Upstream("upstream-0", "127.0.0.1:1", "zone-0", 2, 1, true),
				new Upstream("upstream-1", "127.0.0.1:2", "zone-0", 2, 1, true)), 0);
		for (int i = 1; i <= REQUEST_COUNT; i++) {
			record(this.router.admit(new RoutingRequest(i, "caller-" + i, true, 5_000_000_000L), 0));
		}
		RoutingEffect.Dispatch first = this.dispatches.remove(0);
		assertThat(first.requestId()).isEqualTo(1);
		record(this.router.completeAttempt(1, first.upstream().name(), AttemptResult.FAILURE, 1_000_000));
		record(this.router.retry(1, 1_000_000));
		record(this.router.retry(1, 1_000_000));
	}

	private void record(List<RoutingEffect> effects) {
		effects.stream()
			.filter(RoutingEffect.Dispatch.class::isInstance)
			.map(RoutingEffect.Dispatch.class::cast)
			.forEach(this.dispatches::add);
	}

	private void completeAll() {
		while (!this.dispatches.isEmpty()) {
			RoutingEffect.Dispatch dispatch = this.dispatches.remove(0);
			record(this.router.completeAttempt(dispatch.requestId(), dispatch.upstream().name(), AttemptResult.SUCCESS,
					2_000_000));
			this.router.close(dispatch.requestId());
		}
	}

	// Guards against a closed request that stays in the queue, so that each later
	// decision of the service fails.
	@Test
	void requestIsNotQueuedAfterItIsClosed() {
		this.router.close(1);
		assertThatCode(this::completeAll).doesNotThrowAnyException();
		assertThat(this.router.queuedRequests()).isZero();
	}

	// Guards against a caller that is refused by one retry while the other one runs.
	@Test
	void oneRefusalIsDecided() {
		List<RoutingEffect> effects = this.router.tick(4_999_000_000L);
		assertThat(effects)
			.filteredOn((effect) -> effect instanceof RoutingEffect.Refusal refusal && refusal.requestId() == 1)
			.hasSizeLessThanOrEqualTo(1);
	}

}
