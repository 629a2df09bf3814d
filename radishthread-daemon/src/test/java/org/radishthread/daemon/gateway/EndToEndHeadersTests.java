package org.radishthread.daemon.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndToEndHeaders}.
 */
class EndToEndHeadersTests {

	private static final HttpFields CALLER_HEADERS = HttpFields.build()
		.add("Accept", "text/plain")
		.add("RADISHTHREAD-KEY", "k-1")
		.add("Radishthread-Workspace", "forged")
		.add("Radishthread-Key", "k-2");

	private static HttpFields copy(boolean includeWorkspaceHeaders) {
		HttpFields.Mutable target = HttpFields.build();
		EndToEndHeaders.copyRequestHeaders(new DefaultHttpDialect(), includeWorkspaceHeaders, CALLER_HEADERS, target);
		return target;
	}

	@Test
	void keysAndNamesOfWorkspacesAreLeftOut() {
		assertThat(copy(false).getFieldNamesCollection()).containsExactly("Accept");
	}

	@Test
	void rulesWithoutWorkspacesForwardTheSameHeadersAsBefore() {
		assertThat(copy(true)).hasSize(4);
	}

}
