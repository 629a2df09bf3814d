package org.radishthread.rules;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.kernel.Finding;
import org.radishthread.kernel.FindingsException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link IncrementalRuleParser}.
 */
class IncrementalRuleParserTests {

	private static final int ROUTE_COUNT = 2_000;

	private static final String WORKSPACE = "workspace resort keys=00112233445566778899aabbccddeeff   # asked by anna";

	private final IncrementalRuleParser parser = new IncrementalRuleParser();

	private static List<String> lines(long revision) {
		List<String> lines = new ArrayList<>(List.of("revision " + revision + "   # asked by anna",
				"callers header=8192b   # asked by anna", "service tiles queue=20   # asked by anna", WORKSPACE));
		for (int route = 0; route < ROUTE_COUNT; route++) {
			lines.add("route tiles:1,tiles-next:2 GET /tiles/" + route + "/** timeout=2s   # asked by anna");
		}
		return lines;
	}

	private void assertSameAsParsedWhole(List<String> lines) {
		String text = String.join("\n", lines);
		assertThat(this.parser.parse("rules", text)).isEqualTo(RuleParser.parse("rules", text));
	}

	@Nested
	class Cost {

		@Test
		void onlyChangedLinesAreParsed() {
			assertSameAsParsedWhole(lines(1));
			assertThat(IncrementalRuleParserTests.this.parser.parsedLineCount()).isEqualTo(ROUTE_COUNT + 4);
			List<String> changed = lines(2);
			changed.set(1_000, "route tiles GET /changed/**   # asked by anna");
			assertSameAsParsedWhole(changed);
			assertThat(IncrementalRuleParserTests.this.parser.parsedLineCount()).isEqualTo(2);
		}

		@Test
		void linesThatMovedAreNotParsedAgain() {
			assertSameAsParsedWhole(lines(1));
			List<String> moved = lines(2);
			moved.add(4, "route tiles GET /first/**   # asked by anna");
			assertSameAsParsedWhole(moved);
			assertThat(IncrementalRuleParserTests.this.parser.parsedLineCount()).isEqualTo(2);
		}

		@Test
		void unchangedRouteIsTheSameObject() {
			RouteRule route = IncrementalRuleParserTests.this.parser.parse("rules", String.join("\n", lines(1)))
				.routes()
				.get(7);
			assertThat(
					IncrementalRuleParserTests.this.parser.parse("rules", String.join("\n", lines(2))).routes().get(7))
				.isSameAs(route);
		}

	}

	@Nested
	class InvalidFiles {

		@Test
		void lineThatContradictsAnUnchangedOneIsFound() {
			assertSameAsParsedWhole(lines(1));
			for (int repeated = 1; repeated <= 3; repeated++) {
				List<String> lines = lines(2);
				lines.add(lines.get(repeated));
				assertSameFindings(String.join("\n", lines));
			}
		}

		@Test
		void keyThatMovedToAnotherWorkspaceIsFoundWhileBothHaveIt() {
			assertSameAsParsedWhole(lines(1));
			List<String> lines = lines(2);
			lines.add(2, WORKSPACE.replace("resort", "other"));
			assertSameFindings(String.join("\n", lines));
		}

		@Test
		void invalidFileDoesNotChangeWhatIsKnown() {
			assertSameAsParsedWhole(lines(1));
			assertSameFindings("revision 2   # asked by anna\nroute");
			assertSameAsParsedWhole(lines(3));
			assertThat(IncrementalRuleParserTests.this.parser.parsedLineCount()).isEqualTo(1);
		}

		private void assertSameFindings(String text) {
			List<Finding> expected = findings(() -> RuleParser.parse("rules", text));
			assertThat(expected).isNotEmpty();
			assertThat(findings(() -> IncrementalRuleParserTests.this.parser.parse("rules", text))).isEqualTo(expected);
		}

		private static List<Finding> findings(Runnable parse) {
			return assertThatExceptionOfType(FindingsException.class).isThrownBy(parse::run).actual().getFindings();
		}

	}

	@Nested
	class RandomEdits {

		@Test
		void giveTheSameRulesAsParsingTheWholeFile() {
			Random random = new Random(7);
			List<String> lines = lines(1).subList(0, 40);
			for (int revision = 1; revision < 200; revision++) {
				lines.set(0, "revision " + revision + "   # asked by anna");
				int index = 4 + random.nextInt(lines.size() - 4);
				switch (random.nextInt(5)) {
					case 0 -> lines.set(index, "route tiles GET /edit/" + revision + "   # asked by anna");
					case 1 -> lines.add(index, "route tiles GET /added/" + revision + "   # asked by anna");
					case 2 -> lines.add(index, "route tiles GET /same   # asked by anna");
					case 3 -> Collections.rotate(lines.subList(1, lines.size()), index);
					default -> lines.add(index, "");
				}
				assertSameAsParsedWhole(lines);
			}
		}

	}

}
