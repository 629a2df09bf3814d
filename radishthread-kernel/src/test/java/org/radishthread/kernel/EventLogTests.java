package org.radishthread.kernel;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventLog}.
 */
class EventLogTests {

	// Guards against callers that fill the memory by values in lines that wait.
	@Test
	void longValuesAreCut() {
		assertThat(EventLog.Event.cut("x".repeat(60_000))).isEqualTo("x".repeat(1_024) + "...");
		assertThat(EventLog.Event.cut("x".repeat(1_024))).isEqualTo("x".repeat(1_024));
	}

}
