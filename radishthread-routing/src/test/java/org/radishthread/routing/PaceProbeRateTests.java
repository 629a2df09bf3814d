package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.PaceProbe;
import org.radishthread.rules.PaceProbeRule;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the pace probes of a service with many upstreams at an instance with a small
 * share of a core and a narrow link.
 */
class PaceProbeRateTests {

	private static final int UPSTREAM_COUNT = 76;

	private static final int PROBES_PER_SECOND = 40;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int MEASURED_MILLIS = 10_000;

	private final Map<String, Integer> probes = new HashMap<>();

	private ServiceRouter router() {
		ServiceRule rule = new ServiceRule("rotaboard", 2_000, Duration.ofSeconds(60), 50, 20, 100, 3,
				new PaceProbeRule("/health", 25));
		ServiceRouter router = new ServiceRouter(rule,
				new RouterSettings("bastrop", 16, RetryLimits.DEFAULTS, PROBES_PER_SECOND), 0);
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < UPSTREAM_COUNT; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:" + i, "bastrop", 3, 1, true));
		}
		router.updateUpstreams(upstreams, 0);
		return router;
	}

	// Admits a request every 4 ms and ticks every 10 ms, as the home of a service with
	// 240 requests a second does.
	private void run(ServiceRouter router, boolean home) {
		long requestId = 0;
		for (long millis = 0; millis < MEASURED_MILLIS; millis += 2) {
			long nowNanos = millis * NANOS_PER_MILLI;
			if (millis % 4 == 0) {
				requestId++;
				router.admit(new RoutingRequest(requestId, "caller-" + requestId, true, nowNanos + 4_000_000_000L),
						home, nowNanos);
				router.close(requestId);
			}
			if (millis % 10 == 0) {
				for (RoutingEffect effect : router.tick(nowNanos)) {
					if (effect instanceof PaceProbe probe) {
						this.probes.merge(probe.upstream().name(), 1, Integer::sum);
					}
				}
			}
		}
	}

	private int probeCount() {
		return this.probes.values().stream().mapToInt(Integer::intValue).sum();
	}

	@Test
	void probesOfManyUpstreamsStayWithinTheRateAndReachAll() {
		run(router(), true);
		assertThat(probeCount()).isLessThanOrEqualTo(PROBES_PER_SECOND * MEASURED_MILLIS / 1_000 + 10);
		assertThat(this.probes).hasSize(UPSTREAM_COUNT);
	}

	@Test
	void instanceThatIsNotTheHomeDoesNotProbe() {
		run(router(), false);
		assertThat(probeCount()).isZero();
	}

}
