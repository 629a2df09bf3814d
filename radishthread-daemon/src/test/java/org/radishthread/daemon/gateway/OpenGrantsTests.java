package org.radishthread.daemon.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OpenGrants}.
 */
class OpenGrantsTests {

	private final OpenGrants grants = new OpenGrants();

	@Test
	void endOfAnAttemptIsCountedOnce() {
		assertThat(this.grants.add("upstream-0")).isTrue();
		assertThat(this.grants.remove("upstream-0")).isTrue();
		assertThat(this.grants.remove("upstream-0")).isFalse();
		assertThat(this.grants.close()).isEmpty();
	}

	@Test
	void closedRequestReturnsTheGrantsThatWereNotReported() {
		this.grants.add("upstream-0");
		this.grants.add("upstream-1");
		this.grants.remove("upstream-0");
		assertThat(this.grants.close()).containsExactly("upstream-1");
		assertThat(this.grants.close()).isEmpty();
	}

	// Guards against a slot that is held for good, because its request was closed by
	// another thread while the slot was granted.
	@Test
	void closedRequestTakesNoGrant() {
		this.grants.close();
		assertThat(this.grants.add("upstream-0")).isFalse();
	}

}
