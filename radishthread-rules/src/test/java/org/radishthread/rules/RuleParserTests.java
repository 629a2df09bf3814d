package org.radishthread.rules;

import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.FindingsException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link RuleParser}.
 */
class RuleParserTests {

	private static final String VALID = """
			revision 7   # asked by Ana Ruiz, 2026-11-30
			# a comment without a rule

			service swapdesk queue=64 wait=500ms caller-share=25% probes=10/s retries=5% eject-after=4   # asked by Ana Ruiz
			route swapdesk GET /swaps/** timeout=2s   # asked by Tom Bell, 2026-12-01
			route swapdesk POST /swaps/* once timeout=1m   # asked by Tom Bell, 2026-12-01
			route tallybin * /harvest/** upload   # asked by Tom Bell, 2026-12-01
			""";

	@Nested
	class ValidFiles {

		private final RuleSet rules = RuleParser.parse("rules", VALID);

		@Test
		void optionsAreParsed() {
			Approvals.verify(this.rules.toString().replace(", ", ",\n"));
		}

		@Test
		void firstMatchingRouteApplies() {
			assertThat(this.rules.findRoute("GET", "/swaps/7/notes")).get()
				.extracting(RouteRule::mode)
				.isEqualTo(RouteMode.REPEATABLE);
			assertThat(this.rules.findRoute("POST", "/swaps/7")).get()
				.extracting(RouteRule::mode)
				.isEqualTo(RouteMode.ONCE);
			assertThat(this.rules.findRoute("POST", "/swaps/7/notes")).isEmpty();
			assertThat(this.rules.findRoute("PUT", "/harvest")).as("'**' also matches no segment").isPresent();
			assertThat(this.rules.findRoute("PUT", "/harvests")).isEmpty();
			assertThat(this.rules.findRoute("PUT", "/harvest/7")).get()
				.extracting(RouteRule::service)
				.isEqualTo("tallybin");
		}

		// Guards against a valid configuration that was refused for the case, a dot or
		// the length of a name, or for the digits of a weight.
		@Test
		void namesAndWeightsOfAnyFormAreParsed() {
			String longName = "x".repeat(128);
			String split = "Swap.Desk_2:0.0000000001,tally-Bin:123456789012," + longName + ":0";
			RuleSet parsedRules = RuleParser.parse("rules",
					VALID + "route " + split + " GET /names/**   # asked by Ana Ruiz\n");
			assertThat(parsedRules.findRoute("GET", "/names/7").orElseThrow().split()).containsExactly(
					new WeightedService("Swap.Desk_2", 1e-10), new WeightedService("tally-Bin", 123456789012d),
					new WeightedService(longName, 0));
		}

		@Test
		void unsafeMethodsRunAtMostOnceByDefault() {
			assertThat(RouteMode.defaultFor("DELETE")).isEqualTo(RouteMode.ONCE);
			assertThat(RouteMode.defaultFor("HEAD")).isEqualTo(RouteMode.REPEATABLE);
		}

	}

	@Nested
	class Workspaces {

		private static final String DIGEST = KeyDigest.of("key-of-the-growers");

		private static String file(String... lines) {
			return "revision 7   # asked by Ana Ruiz\n" + String.join("   # asked by Ana Ruiz\n", lines)
					+ "   # asked by Ana Ruiz\n";
		}

		private static String findingsOf(String... lines) {
			return catchThrowableOfType(FindingsException.class, () -> RuleParser.parse("rules", file(lines)))
				.getMessage();
		}

		@Test
		void optionsAreParsed() {
			RuleSet rules = RuleParser.parse("rules",
					file("workspace growers keys=" + DIGEST + " rate=2.5/s burst=10 priority=1", "workspace buyers"));
			assertThat(rules.requiresKeys()).isTrue();
			assertThat(rules.toWorkspacesByKeyDigest()).containsOnlyKeys(DIGEST);
			assertThat(rules.workspaces().get("growers"))
				.isEqualTo(new WorkspaceRule("growers", List.of(DIGEST), 2.5, 10, 1));
			assertThat(rules.workspaces().get("buyers").isLimited()).isFalse();
		}

		@Test
		void openRoutesAndColdRatesAreParsed() {
			RuleSet rules = RuleParser.parse("rules",
					file("service swapdesk cold-rate=4.2/s", "route swapdesk GET /swaps/** open"));
			assertThat(rules.requiresKeys()).isFalse();
			assertThat(rules.serviceRule("swapdesk").coldRequestsPerSecond()).isEqualTo(4.2);
			assertThat(rules.findRoute("GET", "/swaps/7")).get().extracting(RouteRule::open).isEqualTo(true);
		}

		@Test
		void invalidOptionsAreReportedTogether() {
			assertThat(findingsOf("workspace", "workspace growers rate=-1/s burst=x priority=1.5 keys=short color=red"))
				.contains("A workspace name")
				.contains("rate: A rate such as 2.5/s")
				.contains("burst: A number")
				.contains("priority: A whole number")
				.contains("keys: Digests")
				.contains("color: Unknown workspace option");
		}

		@Test
		void oneKeyBelongsToOneWorkspace() {
			assertThat(findingsOf("workspace growers keys=" + DIGEST, "workspace buyers keys=" + DIGEST))
				.contains("buyers: The workspace has a key in common with 'growers'");
			assertThat(findingsOf("workspace growers", "workspace growers")).contains("stands twice");
		}

		@Test
		void findingsDoNotRepeatKeys() {
			assertThat(findingsOf("workspace growers keys=key-of-the-growers")).doesNotContain("key-of-the-growers");
		}

	}

	@Nested
	class Findings {

		@Test
		void allAreReportedTogetherWithLineAndColumn() {
			FindingsException failure = catchThrowableOfType(FindingsException.class,
					() -> RuleParser.parse("bad.rules", """
							revision x   # asked by Ana Ruiz
							route swapdesk GET /swaps/**
							route swap!desk get swaps
							service swapdesk queues=3 wait=5 caller-share=200%   # asked by Ana Ruiz
							service swapdesk   # asked by Ana Ruiz
							allow everything   # requested by Ana Ruiz
							route swapdesk GET /a/**/b   # asked by Ana Ruiz
							route swapdesk GET /a timeout=2s timeout=3s once repeatable   # asked by Ana Ruiz
							"""));
			Approvals.verify(failure.getMessage());
		}

		@Test
		void weightsThatAreNotFiniteAreRejected() {
			String largest = "9".repeat(308);
			for (String split : List.of("a:" + "9".repeat(309), "a:" + largest + ",b:" + largest, "a:0,b:0.000")) {
				FindingsException failure = catchThrowableOfType(FindingsException.class,
						() -> RuleParser.parse("bad.rules", VALID + "route " + split + " GET /   # asked by Ana Ruiz"));
				assertThat(failure).hasMessageContaining("bad.rules:8:");
			}
		}

		@Test
		void fileWithoutRevisionIsRejected() {
			FindingsException failure = catchThrowableOfType(FindingsException.class,
					() -> RuleParser.parse("empty.rules", "\n"));
			assertThat(failure).hasMessageContaining("must name its revision");
		}

		@Test
		void fileAboveMaximumSizeIsRejected() {
			FindingsException failure = catchThrowableOfType(FindingsException.class,
					() -> RuleParser.parse("large.rules", "#".repeat(RuleParser.MAXIMUM_FILE_BYTES + 1)));
			assertThat(failure).hasMessageContaining("must not exceed");
		}

	}

}
