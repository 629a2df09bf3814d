package org.radishthread.client;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OutputFormat}.
 */
class OutputFormatTests {

	// Operators' scripts use these names with the option --output.
	@Test
	void namesOfTheOptionValuesAreFixed() {
		assertThat(OutputFormat.values()).extracting(OutputFormat::name).containsExactly("text", "json");
	}

}
