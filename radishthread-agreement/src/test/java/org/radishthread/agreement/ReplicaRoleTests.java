package org.radishthread.agreement;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicaRole}.
 */
class ReplicaRoleTests {

	@Test
	void wireNamesOfAllRolesAreFixed() {
		assertThat(Arrays.stream(ReplicaRole.values()).map(ReplicaRole::wireName)).containsExactly("unfounded",
				"follower", "pre-candidate", "candidate", "leader");
	}

}
