package org.radishthread.rules;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RouteMode}.
 */
class RouteModeTests {

	// Rule files that are already stored use these names.
	@Test
	void namesInRuleFilesAreFixed() {
		assertThat(RouteMode.values()).extracting(RouteMode::wireName).containsExactly("repeatable", "once", "upload");
	}

	@Test
	void eachModeIsParsedFromItsName() {
		for (RouteMode mode : RouteMode.values()) {
			RuleSet rules = RuleParser.parse("rules", """
					revision 1   # asked by Ana Ruiz
					route swapdesk * /swaps/** %s   # asked by Ana Ruiz
					""".formatted(mode.wireName()));
			assertThat(rules.routes()).singleElement().extracting(RouteRule::mode).isEqualTo(mode);
		}
	}

}
