package org.radishthread.kernel;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventLog}.
 */
class EventLogTests {

	// Guards against callers that fill the memory by long values in the lines that wait
	// to
	// be written.
	@Test
	void longValuesAreCut() {
		assertThat(EventLog.Event.cut("x".repeat(60_000))).isEqualTo("x".repeat(1_024) + "...");
		assertThat(EventLog.Event.cut("x".repeat(1_024))).isEqualTo("x".repeat(1_024));
	}

}
