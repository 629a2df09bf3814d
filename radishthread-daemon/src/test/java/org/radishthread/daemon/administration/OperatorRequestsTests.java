package org.radishthread.daemon.administration;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.radishthread.protocol.RulesVerdict;
import org.radishthread.protocol.UpstreamState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OperatorRequests}.
 */
class OperatorRequestsTests {

	/**
	 * Operators' tools match these words, which the responses contain as lower-cased
	 * names of enum constants; renaming a constant would change the responses.
	 */
	@Nested
	class EnumNamesInResponses {

		private Stream<String> lowerCaseNames(Enum<?>[] constants) {
			return Arrays.stream(constants).map((constant) -> constant.name().toLowerCase(Locale.ROOT));
		}

		@Test
		void verdictsKeepTheirNames() {
			assertThat(lowerCaseNames(RulesVerdict.values())).containsExactly("rules_verdict_unspecified", "accepted",
					"conflict", "stale", "invalid", "unrecognized");
		}

		@Test
		void upstreamStatesKeepTheirNames() {
			assertThat(lowerCaseNames(UpstreamState.values())).containsExactly("upstream_state_unspecified", "ready",
					"draining", "left", "unrecognized");
		}

	}

}
