package org.radishthread.daemon.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestOutcome}.
 */
class RequestOutcomeTests {

	// Callers and upstreams compare these values of the Radishthread-Outcome header, so a
	// renamed constant would break them.
	@Test
	void wireNamesAreFixed() {
		assertThat(RequestOutcome.values()).extracting(RequestOutcome::wireName)
			.containsExactly("not-run", "unknown", "run");
	}

}
