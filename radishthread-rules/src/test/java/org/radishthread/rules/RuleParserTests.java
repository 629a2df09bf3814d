package org.radishthread.rules;

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

		@Test
		void unsafeMethodsRunAtMostOnceByDefault() {
			assertThat(RouteMode.defaultFor("DELETE")).isEqualTo(RouteMode.ONCE);
			assertThat(RouteMode.defaultFor("HEAD")).isEqualTo(RouteMode.REPEATABLE);
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
							route Swapdesk get swaps
							service swapdesk queues=3 wait=5 caller-share=200%   # asked by Ana Ruiz
							service swapdesk   # asked by Ana Ruiz
							allow everything   # requested by Ana Ruiz
							route swapdesk GET /a/**/b   # asked by Ana Ruiz
							route swapdesk GET /a timeout=2s timeout=3s once repeatable   # asked by Ana Ruiz
							"""));
			Approvals.verify(failure.getMessage());
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
