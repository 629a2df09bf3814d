package org.radishthread.rules;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.FindingsException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link RouteFinder}: hosts, path prefixes and weighted splits.
 */
class RouteFinderTests {

	private static final String RULES = """
			revision 9   # asked by Ana Ruiz
			callers header=8192b body=1000b header-timeout=3s idle=15s   # asked by Ana Ruiz
			route first * /a/** host=one.example repeatable timeout=800ms objective=200ms priority=2 attempts=2   # asked by Ana Ruiz
			route second * /a/b/** host=One.example once   # asked by Ana Ruiz
			route third * /a/** host=two.example upload total=1s   # asked by Ana Ruiz
			route any GET /a/**   # asked by Ana Ruiz
			route left:90,right:10,unused:0 * /split/** host=one.example   # asked by Ana Ruiz
			""";

	private final RuleSet rules = RuleParser.parse("rules", RULES);

	private final RouteFinder finder = this.rules.toRouteFinder();

	private String findService(String host, String path) {
		return this.finder.find(host, "GET", path).map(RouteRule::service).orElse("none");
	}

	@Nested
	class Hosts {

		@Test
		void longestPrefixAmongRoutesOfTheHostApplies() {
			assertThat(findService("one.example", "/a/x")).isEqualTo("first");
			assertThat(findService("one.example", "/a/b/x")).isEqualTo("second");
			assertThat(findService("ONE.example", "/a/b/")).isEqualTo("second");
			assertThat(findService("two.example", "/a/b/x")).isEqualTo("third");
		}

		@Test
		void prefixIncludesItsFinalSlash() {
			assertThat(findService("one.example", "/a/b")).isEqualTo("first");
			assertThat(findService("two.example", "/a")).isEqualTo("any");
			assertThat(findService("two.example", "/ab/")).isEqualTo("none");
		}

		@Test
		void routeWithoutHostAppliesWhenNoRouteOfTheHostMatches() {
			assertThat(findService("three.example", "/a/x")).isEqualTo("any");
			assertThat(findService("three.example", "/b")).isEqualTo("none");
		}

	}

	@Nested
	class Limits {

		@Test
		void routeLimitsAreParsed() {
			RouteLimits limits = RouteFinderTests.this.rules.routes().get(0).limits();
			assertThat(limits.timeout()).hasMillis(800);
			assertThat(limits.objective()).hasMillis(200);
			assertThat(limits.priority()).isEqualTo(2);
			assertThat(limits.maximumAttempts()).isEqualTo(2);
			assertThat(RouteFinderTests.this.rules.routes().get(2).limits().totalTimeout()).hasMillis(1_000);
		}

		@Test
		void callerLimitsAreParsed() {
			CallerLimits limits = RouteFinderTests.this.rules.callerLimits();
			assertThat(limits.maximumHeaderBytes()).isEqualTo(8_192);
			assertThat(limits.maximumBodyBytes()).isEqualTo(1_000);
			assertThat(limits.idleTimeout()).hasSeconds(15);
		}

	}

	@Nested
	class Splits {

		@Test
		void requestsAreDividedByWeight() {
			RouteRule split = RouteFinderTests.this.finder.find("one.example", "GET", "/split/x").orElseThrow();
			Map<String, Integer> counts = new HashMap<>();
			for (int i = 0; i < 1_000; i++) {
				counts.merge(split.withServiceAt(i / 1_000.0).service(), 1, Integer::sum);
			}
			assertThat(counts).containsOnly(Map.entry("left", 900), Map.entry("right", 100));
		}

		@Test
		void weightsThatAddUpToZeroAreRejected() {
			assertThatThrownBy(
					() -> RuleParser.parse("rules", "revision 1 # asked by Ana\nroute a:0,b:0 GET /x # asked by Ana\n"))
				.isInstanceOf(FindingsException.class)
				.hasMessageContaining("add up to more than zero");
		}

	}

}
