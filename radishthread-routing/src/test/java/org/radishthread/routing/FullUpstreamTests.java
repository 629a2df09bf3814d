package org.radishthread.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.routing.RoutingEffect.ConnectionProbe;
import org.radishthread.routing.RoutingEffect.CrashFound;
import org.radishthread.routing.RoutingEffect.Dispatch;
import org.radishthread.routing.RoutingEffect.UpstreamEjected;
import org.radishthread.rules.ServiceRule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for upstreams that reset connections while they are full.
 */
class FullUpstreamTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final LoadReport FULL = new LoadReport(4, 8, 4, 100);

	private final ServiceRouter router = new ServiceRouter(
			new ServiceRule("rotaboard", 256, Duration.ofSeconds(1), 100, 20, 1_000, 3), "bastrop", 4, 0);

	private long lastRequestId;

	private long nowMillis;

	private void announce(int count) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			upstreams.add(new Upstream("upstream-" + i, "127.0.0.1:" + (i + 1), "bastrop", 4, 1, true));
		}
		this.router.updateUpstreams(upstreams, 0);
	}

	private Dispatch dispatch(String digest) {
		List<RoutingEffect> effects = this.router.admit(new RoutingRequest(++this.lastRequestId, "caller", true,
				(this.nowMillis + 2_000) * NANOS_PER_MILLI, "", Urgency.NORMAL, 2, "gateway", digest),
				this.nowMillis * NANOS_PER_MILLI);
		return (Dispatch) effects.stream().filter(Dispatch.class::isInstance).findFirst().orElseThrow();
	}

	private List<RoutingEffect> complete(Dispatch attempt, AttemptResult result, LoadReport report) {
		List<RoutingEffect> effects = this.router.completeAttempt(attempt.requestId(), attempt.upstream().name(),
				result, report, this.nowMillis * NANOS_PER_MILLI);
		this.router.close(attempt.requestId());
		return effects;
	}

	private List<RoutingEffect> probe(String upstream, boolean reachable) {
		return this.router.recordConnectionProbe(upstream, reachable, this.nowMillis * NANOS_PER_MILLI);
	}

	@Nested
	class Ejections {

		// Seen in a burst: five of the upstreams ejected within four seconds, none of
		// which had crashed.
		@Test
		void upstreamThatResetsConnectionsWhileItIsFullIsSparedForAMomentOnly() {
			announce(2);
			Dispatch first = dispatch("first");
			String upstream = first.upstream().name();
			List<Dispatch> running = new ArrayList<>();
			for (int i = 0; i < 7; i++) {
				Dispatch other = dispatch("other-" + i);
				if (other.upstream().name().equals(upstream)) {
					running.add(other);
				}
			}
			assertThat(running).hasSize(3);
			complete(first, AttemptResult.SUCCESS, FULL);
			for (Dispatch reset : running) {
				assertThat(complete(reset, AttemptResult.CONNECTION_LOST, null))
					.noneMatch(UpstreamEjected.class::isInstance);
			}
			FullUpstreamTests.this.nowMillis = 50;
			assertThat(FullUpstreamTests.this.router.admit(new RoutingRequest(100, "caller", true, 900_000_000L),
					50 * NANOS_PER_MILLI))
				.noneMatch((effect) -> effect instanceof Dispatch sent && sent.upstream().name().equals(upstream));
			FullUpstreamTests.this.nowMillis = 2_000;
			assertThat(dispatch("later").upstream().name()).isEqualTo(upstream);
		}

		@Test
		void upstreamThatLosesConnectionsWhileItIsNotFullIsEjected() {
			announce(2);
			List<RoutingEffect> effects = new ArrayList<>();
			for (int i = 0; i < 12; i++) {
				Dispatch attempt = dispatch("request-" + i);
				boolean failing = attempt.upstream().name().equals("upstream-0");
				effects
					.addAll(complete(attempt, failing ? AttemptResult.CONNECTION_LOST : AttemptResult.SUCCESS, null));
			}
			assertThat(effects).anyMatch(UpstreamEjected.class::isInstance);
		}

	}

	@Nested
	class Suspicions {

		// A full upstream may reset the connection of the probe too. Two crashes lead to
		// a suspicion, a third one to quarantine.
		@Test
		void requestThatFullUpstreamsResetIsNotSuspected() {
			List<RoutingEffect> effects = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				FullUpstreamTests.this.nowMillis += 700;
				announceOnly(i);
				complete(dispatch("other-" + i), AttemptResult.SUCCESS, FULL);
				effects.addAll(complete(dispatch("innocent"), AttemptResult.CONNECTION_LOST, null));
				effects.addAll(probe("upstream-" + i, false));
			}
			assertThat(effects).noneMatch(CrashFound.class::isInstance).noneMatch(UpstreamEjected.class::isInstance);
		}

		private void announceOnly(int number) {
			FullUpstreamTests.this.router.updateUpstreams(
					List.of(new Upstream("upstream-" + number, "127.0.0.1:1", "bastrop", 4, 1, true)),
					FullUpstreamTests.this.nowMillis * NANOS_PER_MILLI);
			FullUpstreamTests.this.nowMillis += 2_100;
		}

		@Test
		void responseShowsThatAFullUpstreamDidNotCrash() {
			announce(1);
			complete(dispatch("other"), AttemptResult.SUCCESS, FULL);
			Dispatch running = dispatch("running");
			Dispatch reset = dispatch("innocent");
			assertThat(complete(reset, AttemptResult.CONNECTION_LOST, null))
				.noneMatch(ConnectionProbe.class::isInstance);
			FullUpstreamTests.this.nowMillis = 300;
			complete(running, AttemptResult.SUCCESS, FULL);
			probe("upstream-0", false);
			assertThat(probe("upstream-0", false)).noneMatch(CrashFound.class::isInstance);
		}

		@Test
		void crashAfterAResponseIsFound() {
			announce(1);
			complete(dispatch("other"), AttemptResult.SUCCESS, FULL);
			Dispatch crashing = dispatch("crashing");
			Dispatch running = dispatch("running");
			complete(dispatch("innocent"), AttemptResult.CONNECTION_LOST, null);
			FullUpstreamTests.this.nowMillis = 300;
			complete(running, AttemptResult.SUCCESS, new LoadReport(1, 0, 4, 100));
			assertThat(complete(crashing, AttemptResult.CONNECTION_LOST, null))
				.anyMatch(ConnectionProbe.class::isInstance);
			assertThat(probe("upstream-0", false)).anyMatch(CrashFound.class::isInstance);
		}

		@Test
		void requestUnderWhichAFullUpstreamCrashedIsFound() {
			announce(1);
			List<Dispatch> running = new ArrayList<>();
			for (int i = 0; i < 4; i++) {
				running.add(dispatch("crashing-" + i));
			}
			complete(running.remove(3), AttemptResult.SUCCESS, FULL);
			List<RoutingEffect> effects = new ArrayList<>();
			running.forEach((attempt) -> effects.addAll(complete(attempt, AttemptResult.CONNECTION_LOST, null)));
			assertThat(effects).filteredOn(ConnectionProbe.class::isInstance).hasSize(1);
			assertThat(probe("upstream-0", false)).filteredOn(CrashFound.class::isInstance).hasSize(3);
		}

		@Test
		void crashIsFoundWhenTheUpstreamAcceptsNoConnectionLaterEither() {
			announce(1);
			Dispatch other = dispatch("other");
			complete(other, AttemptResult.SUCCESS, FULL);
			assertThat(complete(dispatch("crashing"), AttemptResult.CONNECTION_LOST, null))
				.anyMatch(ConnectionProbe.class::isInstance);
			assertThat(probe("upstream-0", false)).noneMatch(CrashFound.class::isInstance);
			FullUpstreamTests.this.nowMillis = 1_000;
			assertThat(complete(dispatch("later"), AttemptResult.UNREACHABLE, null))
				.anyMatch(CrashFound.class::isInstance);
		}

	}

}
