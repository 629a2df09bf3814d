package org.radishthread.membership;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServingState}.
 */
class ServingStateTests {

	@Test
	void wireNamesAreFixed() {
		assertThat(Arrays.stream(ServingState.values()).map(ServingState::wireName)).containsExactly("ready",
				"starting", "isolated", "stopping");
	}

}
